import { expect } from 'earl'
import { RetryPermits } from '../../../src/core/admission/index.js'

/** Largest number of times within one second. */
const getPeak = (times: readonly number[]): number => {
  return Math.max(...times.map(from => times.filter(at => at >= from && at < from + 1_000).length))
}

describe('RetryPermits', () => {
  it('should permit a single retry in calm at once, again and again', () => {
    const permits = new RetryPermits()
    const waits = Array.from({ length: 50 }, (_, at) => permits.request(at * 1_000, 0))
    expect(waits.every(waitMs => waitMs === 0)).toEqual(true)
  })

  // All callers that a burst had refused returned within the same second, and were refused again.
  it('should spread the returns of a burst at the rate of the budget, and count further attempts in it', () => {
    const permits = new RetryPermits()
    for (let at = 0; at < 5_000; at += 50) permits.recordAccepted(at)
    const returns = Array.from({ length: 25 }, (_, at) => 5_000 + at * 2 + permits.scheduleReturn(5_000 + at * 2, 300, false))
    expect(getPeak(returns)).toBeLessThan(17)
    expect(Math.max(...returns)).toBeGreaterThan(7_000)
    expect(permits.request(5_100, 500)).toEqual(undefined)
    expect(permits.request(11_000, 0)).toEqual(0)
  })

  it('should not put off the return of a program in progress for the budget, but count it', () => {
    const permits = new RetryPermits()
    for (let count = 0; count < 12; count++) expect(permits.scheduleReturn(0, 400, true)).toEqual(400)
    expect(permits.request(0, 100)).toEqual(undefined)
  })

  // Thousands of refusals used up the budget of the next minutes.
  it('should permit retries soon after an outage, however many callers it has refused', () => {
    const permits = new RetryPermits()
    for (let count = 0; count < 5_000; count++) permits.scheduleReturn(count, 300, false)
    expect(permits.request(10_000, 0)).toEqual(0)
  })
})
