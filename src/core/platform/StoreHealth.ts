/** Failures in a row after which the store counts as away; one or two may be lost packets. */
export const AWAY_AFTER_FAILURES = 3

/** Seconds after which a caller comes again when a single call got no answer. */
export const BRIEF_RETRY_SECONDS = 0.3

/** Seconds after which a caller comes again while the store is away: outages last for seconds, and callers have a few tries only. */
export const AWAY_RETRY_SECONDS = 2

/** Share by which times to come again differ, so that callers do not return together. */
const RETRY_SPREAD = 0.25

/** Follows whether the store answers, from the outcomes of all calls. */
export class StoreHealth {
  private _failures = 0
  private _answeredAt = -Infinity

  /** Notes an answer; returns true when the store was away. */
  noteAnswer (now: number): boolean {
    const wasAway = this.isAway()
    this._failures = 0
    this._answeredAt = now
    return wasAway
  }

  /** Notes a call without an answer; returns true when the store counts as away from now on. */
  noteFailure (): boolean {
    this._failures++
    return this._failures === AWAY_AFTER_FAILURES
  }

  /** Tells whether the store does not answer. */
  isAway (): boolean {
    return this._failures >= AWAY_AFTER_FAILURES
  }

  /** Gets the seconds after which a caller may find the store back. */
  getRetrySeconds (random: () => number): number {
    const seconds = this.isAway() ? AWAY_RETRY_SECONDS : BRIEF_RETRY_SECONDS
    return seconds * (1 - RETRY_SPREAD * random())
  }

  /** Gets the time of the latest answer. */
  getAnsweredAt (): number {
    return this._answeredAt
  }
}
