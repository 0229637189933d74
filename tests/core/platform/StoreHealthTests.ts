import { expect } from 'earl'
import { AWAY_AFTER_FAILURES, AWAY_RETRY_SECONDS, BRIEF_RETRY_SECONDS, StoreHealth } from '../../../src/core/platform/index.js'

describe('StoreHealth', () => {
  it('should count the store as away after failures in a row, and as back with the first answer', () => {
    const health = new StoreHealth()
    for (let at = 1; at < AWAY_AFTER_FAILURES; at++) expect(health.noteFailure()).toEqual(false)
    expect(health.isAway()).toEqual(false)
    expect(health.noteFailure()).toEqual(true)
    expect(health.noteAnswer(10)).toEqual(true)
    expect(health.isAway()).toEqual(false)
  })

  // The load of an outage: each program has six tries, which are to last longer than the outage.
  it('should send callers away for longer while the store is away', () => {
    const health = new StoreHealth()
    expect(health.getRetrySeconds(() => 0)).toEqual(BRIEF_RETRY_SECONDS)
    for (let at = 0; at < AWAY_AFTER_FAILURES; at++) health.noteFailure()
    expect(health.getRetrySeconds(() => 0)).toEqual(AWAY_RETRY_SECONDS)
    expect(health.getRetrySeconds(() => 0.99) >= 1.5).toEqual(true)
  })
})
