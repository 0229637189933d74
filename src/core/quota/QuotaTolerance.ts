import type { Quota } from '../workspace/index.js'
import { GRANT_TTL_MS } from './QuotaGrants.js'

/**
 * Tokens of a bucket when its gateway starts, in deployments without a tolerance; the predecessor's may still be in use.
 *
 * Each restart in a window adds them to what is lent. With a tolerance buckets start empty, so that any number of restarts keeps the bound.
 */
const START_TOKENS = 1

/** Tokens by which a bucket is at least larger than its share of the burst, for requests that come together where shares are small. */
const MIN_EXTRA_TOKENS = 2

/** By how much the requests of a workspace in one window may exceed its quota. */
export interface QuotaTolerance {
  /** Length in milliseconds of the sliding window in which requests are counted. */
  readonly windowMs: number
  /** Part of the rate and the burst. */
  readonly overshoot: number
  /** Number of requests. */
  readonly slack: number
}

/** What a holder lends of its share of a quota. */
export interface ShareLimits {
  /** Tokens per second. */
  readonly perSecond: number
  /** Largest number of tokens that the bucket keeps. */
  readonly capacity: number
  /** Tokens of a new bucket. */
  readonly startTokens: number
  /** Tokens that programs in progress may use before they exist; 0 without a tolerance. */
  readonly maxDebt: number
  /** Largest number of tokens that are lent in {@link ShareLimits.spanMs}. */
  readonly maxInSpan: number
  /** Milliseconds in which tokens are lent that may be used in one window. */
  readonly spanMs: number
}

/**
 * Gets what a holder lends of its share of a quota.
 *
 * Tokens that are used in a window are lent in the window or the validity of a grant before it. All holders together may lend
 * (rate x window + burst) x (1 + overshoot) + slack in that span. What the rate in the span leaves of it is the capacity; as much as the
 * rate fills in a span may be lent in advance, as long as the sum of a span is kept.
 *
 * @param share - The holder's share of the quota, at most 1.
 * @param tolerance - Undefined for a deployment that states none; its buckets keep the burst and two tokens each.
 */
export function getShareLimits ({ perSecond, burst }: Quota, share: number, tolerance: QuotaTolerance | undefined): ShareLimits {
  const least = Math.max(1, burst * share) + MIN_EXTRA_TOKENS
  const rate = perSecond * share
  const strict = { perSecond: rate, capacity: least, startTokens: START_TOKENS, maxDebt: 0, maxInSpan: Infinity, spanMs: 0 }
  if (tolerance === undefined) return strict
  const { windowMs, overshoot, slack } = tolerance
  const spanMs = windowMs + GRANT_TTL_MS
  const bound = share * ((perSecond * windowMs / 1_000 + burst) * (1 + overshoot) + slack)
  const filled = rate * spanMs / 1_000
  const capacity = bound - filled
  // A tolerance that is too small for four shares.
  if (capacity < least) return strict
  return { perSecond: rate, capacity, startTokens: 0, maxDebt: filled, maxInSpan: bound, spanMs }
}
