/**
 * Milliseconds for which tokens may be granted before they exist.
 *
 * A short wait for a token that is certain replaces a refusal and the calls that ask again.
 */
export const MAX_ADVANCE_MS = 100

/** Part of its capacity from which a bucket has more tokens than it keeps for requests that come together. */
const AMPLE_SHARE = 0.9

/** Part of a token by which sums of fractions may be wrong. */
const ROUNDING = 1e-6

/** Rate and size of a bucket. */
export interface BucketLimit {
  /** Tokens per second. */
  readonly perSecond: number
  /** Largest number of tokens that the bucket keeps. */
  readonly capacity: number
}

/** Tokens taken from a bucket. */
export interface BucketResult {
  /** Number of tokens; 0 if none may be taken now. */
  readonly tokens: number
  /** True if so many are left that it does no harm if some of these expire unused. */
  readonly isAmple: boolean
  /** Milliseconds until the tokens may be used, or until one may be taken if there are none. */
  readonly waitMs: number
}

/** Token bucket whose tokens may be granted up to {@link MAX_ADVANCE_MS} before they exist. */
export class QuotaBucket {
  private _limit: BucketLimit
  private _level: number
  private _updatedAt: number

  /** Starts with `level` tokens at the time `now`, in milliseconds of any steady clock. */
  constructor (limit: BucketLimit, level: number, now: number) {
    this._limit = limit
    this._level = Math.min(limit.capacity, level)
    this._updatedAt = now
  }

  /** Changes rate and size from now on. */
  setLimit (limit: BucketLimit, now: number): void {
    this._refill(now)
    this._limit = limit
    this._level = Math.min(limit.capacity, this._level)
  }

  /**
   * Takes up to `wanted` whole tokens.
   *
   * @param debt - Tokens that may be taken and used before they exist.
   */
  take (wanted: number, now: number, debt = 0): BucketResult {
    this._refill(now)
    const { perSecond, capacity } = this._limit
    const available = this._level + debt + perSecond * MAX_ADVANCE_MS / 1_000
    const tokens = Math.max(0, Math.min(wanted, Math.floor(available + ROUNDING)))
    if (tokens === 0) return { tokens, isAmple: false, waitMs: Math.ceil((1 - available) / perSecond * 1_000) }
    this._level -= tokens
    const isAmple = this._level >= capacity * AMPLE_SHARE
    return { tokens, isAmple, waitMs: Math.ceil(Math.max(0, -this._level - debt) / perSecond * 1_000) }
  }

  /** Gets the number of tokens; negative for a debt. */
  getLevel (now: number): number {
    this._refill(now)
    return this._level
  }

  /** Checks whether the bucket is full, so that a new one is its equal. */
  isFull (now: number): boolean {
    this._refill(now)
    return this._level >= this._limit.capacity
  }

  private _refill (now: number): void {
    const { perSecond, capacity } = this._limit
    this._level = Math.min(capacity, this._level + Math.max(0, now - this._updatedAt) / 1_000 * perSecond)
    this._updatedAt = Math.max(this._updatedAt, now)
  }
}
