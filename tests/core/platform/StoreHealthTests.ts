import { expect } from 'earl'
import { UNAVAILABLE_AFTER_FAILURES, UNAVAILABLE_AFTER_SILENCE_MS, UNAVAILABLE_RETRY_SECONDS, FAILED_CALL_RETRY_SECONDS, StoreHealth, type StorePartition } from '../../../src/core/platform/index.js'

describe('StoreHealth', () => {
  it('should count the store as away after failures in a row, and as back with the first answer', () => {
    const health = new StoreHealth()
    for (let at = 1; at < UNAVAILABLE_AFTER_FAILURES; at++) expect(health.recordFailure(at, getPartition(at))).toEqual(false)
    expect(health.isUnavailable()).toEqual(false)
    expect(health.recordFailure(9, getPartition(9))).toEqual(true)
    expect(health.recordResponse(10)).toEqual(true)
    expect(health.isUnavailable()).toEqual(false)
  })

  // The load of an outage of two fifths of the store's parts: three calls in a row fail several times a second.
  it('should not count the store as away while some of its parts answer', () => {
    const health = new StoreHealth()
    health.recordResponse(0)
    for (let now = 10; now <= 2_000; now += 10) {
      if (now % 50 === 0) health.recordResponse(now)
      else expect(health.recordFailure(now, getPartition(now))).toEqual(false)
    }
    expect(health.isUnavailable()).toEqual(false)
    for (let now = 2_010; now < 2_000 + UNAVAILABLE_AFTER_SILENCE_MS; now += 10) health.recordFailure(now, getPartition(now))
    expect(health.isUnavailable()).toEqual(false)
    expect(health.recordFailure(2_000 + UNAVAILABLE_AFTER_SILENCE_MS, getPartition(0))).toEqual(true)
  })

  // The load of a quiet gateway: nothing but one change that is tried again.
  it('should not count the store as away for one part that fails', () => {
    const health = new StoreHealth()
    for (let now = 0; now < 5_000; now += 100) expect(health.recordFailure(now, getPartition(1))).toEqual(false)
    expect(health.isUnavailable()).toEqual(false)
  })

  // The load of an outage: each program has six tries, which are to last longer than the outage.
  it('should send callers away for longer while the store is away', () => {
    const health = new StoreHealth()
    expect(health.getRetrySeconds(() => 0)).toEqual(FAILED_CALL_RETRY_SECONDS)
    for (let at = 0; at < UNAVAILABLE_AFTER_FAILURES; at++) health.recordFailure(at, getPartition(at))
    expect(health.getRetrySeconds(() => 0)).toEqual(UNAVAILABLE_RETRY_SECONDS)
    expect(health.getRetrySeconds(() => 0.99) >= 1.5).toEqual(true)
  })
})

function getPartition (at: number): StorePartition {
  return { table: 'turns', part: String(at) }
}
