import { expect } from 'earl'
import { LIFE_SIGN_MS, ManualClock, MIN_PAUSE_MS, PauseDetector } from '../../../src/core/clock/index.js'

describe('PauseDetector', () => {
  it('should detect no pause between regular signs of life', () => {
    const clock = new ManualClock()
    const pauses = new PauseDetector(clock)
    for (let at = 0; at < 20; at++) {
      clock.advanceTo(clock.now() + LIFE_SIGN_MS)
      pauses.recordLife()
    }
    expect(pauses.getResumedAt()).toEqual(-Infinity)
  })

  it('should detect a pause before any timer has fired, and remember its end', () => {
    const clock = new ManualClock()
    const pauses = new PauseDetector(clock)
    clock.advanceTo(MIN_PAUSE_MS)
    expect(pauses.getResumedAt()).toEqual(MIN_PAUSE_MS)
    clock.advanceTo(MIN_PAUSE_MS + LIFE_SIGN_MS)
    expect(pauses.getResumedAt()).toEqual(MIN_PAUSE_MS)
  })
})
