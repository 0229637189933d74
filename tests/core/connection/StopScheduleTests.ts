import { expect } from 'earl'
import { StopSchedule } from '../../../src/core/connection/index.js'

const START = 10_000

describe('StopSchedule', () => {
  let schedule: StopSchedule
  beforeEach(() => { schedule = new StopSchedule({ startedAt: START, graceMs: 8_000 }) })

  it('should accept every request while balancers still send connections', () => {
    expect(schedule.accepts(START + 2_400, START + 60_000)).toEqual(true)
  })

  it('should then accept only what ends before the grace period', () => {
    const accepts = (deadlineMs: number): boolean => schedule.accepts(START + 3_000, START + deadlineMs)
    expect([7_000, 7_001].map(accepts)).toEqual([true, false])
  })

  it('should accept nothing once it is closed', () => {
    schedule.close()
    expect(schedule.accepts(START, START + 10)).toEqual(false)
  })

  it('should exit before the process is killed', () => {
    expect([schedule.getServingEnd(), schedule.getExitTime()]).toEqual([START + 7_000, START + 7_700])
  })
})
