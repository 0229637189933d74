import type { StorePartition } from './RowStore.js'

/** Failures in a row after which the store counts as away; one or two may be lost packets. */
export const UNAVAILABLE_AFTER_FAILURES = 3

/** Parts that must have failed before failures count as an outage; a change that is tried again and again fails in one part only. */
export const UNAVAILABLE_AFTER_PARTITIONS = 3

/** Milliseconds without an answer before failures count as an outage; parts of a store that fail alone leave answers in between. */
export const UNAVAILABLE_AFTER_SILENCE_MS = 250

/** Seconds after which a caller comes again when a single call got no answer. */
export const FAILED_CALL_RETRY_SECONDS = 0.3

/** Seconds after which a caller comes again while the store is away: outages last for seconds, and callers have a few tries only. */
export const UNAVAILABLE_RETRY_SECONDS = 2

/** Share by which times to come again differ, so that callers do not return together. */
const RETRY_JITTER = 0.25

/**
 * Follows whether the store answers, from the outcomes of all calls.
 *
 * Answers outages of some of its parts: their calls fail in rows of three too, while those of other parts are answered.
 */
export class StoreHealth {
  private _failures = 0
  /** Names of the parts that failed since the latest answer. */
  private readonly _failedPartitions = new Set<string>()
  private _lastResponseAt = -Infinity
  private _isUnavailable = false

  /** Notes an answer; returns true when the store was away. */
  recordResponse (now: number): boolean {
    const wasUnavailable = this._isUnavailable
    this._isUnavailable = false
    this._failures = 0
    this._failedPartitions.clear()
    this._lastResponseAt = now
    return wasUnavailable
  }

  /** Notes a call to a part without an answer; returns true when the store counts as away from now on. */
  recordFailure (now: number, partition: StorePartition): boolean {
    this._failures++
    this._failedPartitions.add(`${partition.table}/${partition.part}`)
    if (this._isUnavailable || this._failures < UNAVAILABLE_AFTER_FAILURES || this._failedPartitions.size < UNAVAILABLE_AFTER_PARTITIONS) return false
    if (now - this._lastResponseAt < UNAVAILABLE_AFTER_SILENCE_MS) return false
    this._isUnavailable = true
    return true
  }

  /** Tells whether the store does not answer. */
  isUnavailable (): boolean {
    return this._isUnavailable
  }

  /** Gets the seconds after which a caller may find the store back. */
  getRetrySeconds (random: () => number): number {
    const seconds = this.isUnavailable() ? UNAVAILABLE_RETRY_SECONDS : FAILED_CALL_RETRY_SECONDS
    return seconds * (1 - RETRY_JITTER * random())
  }

  /** Gets the time of the latest answer. */
  getLastResponseAt (): number {
    return this._lastResponseAt
  }
}
