import { expect } from 'earl'
import { getAdmissionWaitMs } from '../../../src/core/limits/index.js'

describe('getAdmissionWaitMs', () => {
  const turn = { isInProgress: false, isScarce: true, objectiveMs: 300, predictedMs: 100, slowdown: 5.1 }

  it('should refuse the first turn of a program while targets limit their rate and the best other one is far too slow', () => {
    expect(getAdmissionWaitMs(turn)).toEqual(1_000)
    expect(getAdmissionWaitMs({ ...turn, slowdown: 1, predictedMs: 601 })).toEqual(1_000)
  })

  it('should admit the first turn of a program while the best target is fast enough', () => {
    expect(getAdmissionWaitMs({ ...turn, slowdown: 5 })).toEqual(undefined)
  })

  it('should admit the turns of a program in progress', () => {
    expect(getAdmissionWaitMs({ ...turn, isInProgress: true })).toEqual(undefined)
  })

  it('should admit programs in a burst at targets without limits, which passes', () => {
    expect(getAdmissionWaitMs({ ...turn, isScarce: false })).toEqual(undefined)
  })
})
