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

  // With a grace period shorter than the notice, requests were accepted that were cut when the process was killed.
  it('should end a notice, and what it accepts, before a short grace period is over', () => {
    const short = new StopSchedule({ startedAt: START, graceMs: 2_000 })
    expect([schedule.getNoticeEnd(), short.getNoticeEnd()]).toEqual([START + 3_000, START + 1_000])
    expect([999, 1_000].map(afterMs => short.accepts(START + afterMs, START + 60_000))).toEqual([true, false])
    expect(new StopSchedule({ startedAt: START, graceMs: 0 }).accepts(START, START + 10)).toEqual(false)
  })
})
