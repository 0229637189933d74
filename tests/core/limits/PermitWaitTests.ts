import { expect } from 'earl'
import { getMaxPermitWaitMs, getRetrySeconds } from '../../../src/core/limits/index.js'

describe('getMaxPermitWaitMs', () => {
  it('should let programs in progress wait longer than new ones, and leave time for the target', () => {
    expect(getMaxPermitWaitMs({ isInProgress: true, remainingMs: 2_000 })).toEqual(1_000)
    expect(getMaxPermitWaitMs({ isInProgress: false, remainingMs: 2_000 })).toEqual(200)
    expect(getMaxPermitWaitMs({ isInProgress: true, remainingMs: -5 })).toEqual(0)
  })
})

describe('getRetrySeconds', () => {
  it('should state the wait, spread over as long again, and never less than 0.3 s', () => {
    expect(getRetrySeconds(1_000, () => 0)).toEqual(1)
    expect(getRetrySeconds(1_000, () => 0.5)).toEqual(1.5)
    expect(getRetrySeconds(10, () => 0)).toEqual(0.3)
  })
})
