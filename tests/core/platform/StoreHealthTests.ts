import { expect } from 'earl'
import {
  FAILED_CALL_RETRY_SECONDS, StoreHealth, UNAVAILABLE_AFTER_FAILURES, UNAVAILABLE_AFTER_SILENCE_MS, UNAVAILABLE_RETRY_SECONDS,
  type StorePartition
} from '../../../src/core/platform/index.js'

describe('StoreHealth', () => {
  it('should count the store as unavailable after consecutive failures, and as available with the first response', () => {
    const health = new StoreHealth()
    for (let at = 1; at < UNAVAILABLE_AFTER_FAILURES; at++) expect(health.recordFailure(at, getPartition(at))).toEqual(false)
    expect(health.isUnavailable()).toEqual(false)
    expect(health.recordFailure(9, getPartition(9))).toEqual(true)
    expect(health.recordResponse(10)).toEqual(true)
    expect(health.isUnavailable()).toEqual(false)
  })

  // In an outage of two fifths of the store's partitions, three consecutive calls fail several times a second.
  it('should not count the store as unavailable while some of its partitions respond', () => {
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

  // A gateway without other load retries a single change, so every call goes to one failing partition.
  it('should not count the store as unavailable for one partition that fails', () => {
    const health = new StoreHealth()
    for (let now = 0; now < 5_000; now += 100) expect(health.recordFailure(now, getPartition(1))).toEqual(false)
    expect(health.isUnavailable()).toEqual(false)
  })

  // Each program has six tries, which have to last longer than an outage.
  it('should delay retries of callers for longer while the store is unavailable', () => {
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
