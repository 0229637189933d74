import { expect } from 'earl'
import { ManualClock, RunningClock } from '../../../src/core/clock/index.js'

describe('RunningClock', () => {
  it('should count the time between ticks, and of a pause no more than a step', () => {
    const clock = new ManualClock(50)
    const running = new RunningClock(clock, 100)
    const times: number[] = []
    for (const time of [90, 150, 4_150, 4_200]) {
      clock.advanceTo(time)
      times.push(running.now())
      running.tick()
    }
    expect(times).toEqual([40, 100, 200, 250])
  })
})
