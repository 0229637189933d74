import type { StorePartition } from './RowStore.js'

/** Consecutive failures after which the store counts as unavailable; one or two may be lost packets. */
export const UNAVAILABLE_AFTER_FAILURES = 3

/** Partitions that must have failed before failures count as an outage; a single change that is retried fails in one partition only. */
export const UNAVAILABLE_AFTER_PARTITIONS = 3

/** Milliseconds without a response before failures count as an outage; while only some partitions fail, others respond in between. */
export const UNAVAILABLE_AFTER_SILENCE_MS = 250

/** Seconds after which a caller retries when a single call got no response. */
export const FAILED_CALL_RETRY_SECONDS = 0.3

/** Seconds after which a caller retries while the store is unavailable: outages last for seconds, and callers have only a few tries. */
export const UNAVAILABLE_RETRY_SECONDS = 2

/** Maximum share by which a retry delay is shortened at random, so that callers do not retry all at once. */
const RETRY_JITTER = 0.25

/**
 * Tracks whether the store is available by the outcomes of all calls.
 *
 * Distinguishes outages of the whole store from outages of some partitions, which also cause three failures in a row although calls to
 * other partitions succeed.
 */
export class StoreHealth {
  private _failures = 0
  /** Names of the partitions that failed since the latest response. */
  private readonly _failedPartitions = new Set<string>()
  private _lastResponseAt = -Infinity
  private _isUnavailable = false

  /** Records a response; returns true if the store was unavailable before. */
  recordResponse (now: number): boolean {
    const wasUnavailable = this._isUnavailable
    this._isUnavailable = false
    this._failures = 0
    this._failedPartitions.clear()
    this._lastResponseAt = now
    return wasUnavailable
  }

  /** Records a call to a partition that got no usable response; returns true if the store counts as unavailable from now on. */
  recordFailure (now: number, partition: StorePartition): boolean {
    this._failures++
    this._failedPartitions.add(`${partition.table}/${partition.part}`)
    if (this._isUnavailable || this._failures < UNAVAILABLE_AFTER_FAILURES ||
      this._failedPartitions.size < UNAVAILABLE_AFTER_PARTITIONS) return false
    if (now - this._lastResponseAt < UNAVAILABLE_AFTER_SILENCE_MS) return false
    this._isUnavailable = true
    return true
  }

  /** Checks whether the store counts as unavailable. */
  isUnavailable (): boolean {
    return this._isUnavailable
  }

  /** Gets the seconds after which a caller should retry. */
  getRetrySeconds (random: () => number): number {
    const seconds = this.isUnavailable() ? UNAVAILABLE_RETRY_SECONDS : FAILED_CALL_RETRY_SECONDS
    return seconds * (1 - RETRY_JITTER * random())
  }

  /** Gets the time of the latest response. */
  getLastResponseAt (): number {
    return this._lastResponseAt
  }
}
