import type { RefusalReason } from '../reason/index.js'

/** Number of dispatches beyond a route's attempts that are allowed when earlier targets stated that they did not run the request. */
export const EXTRA_DISPATCHES = 3

/** Shortest time to the deadline, in milliseconds, for which a further attempt is made. */
export const MIN_ATTEMPT_MS = 20

/** Share of the remaining time after which a second target is asked at the latest, so that it has as long as the first. */
const RESPONSE_LIMIT_SHARE = 0.5

/**
 * Gets the milliseconds for which the response of a repeatable request is awaited before a second target is asked as well.
 *
 * Answers targets that accept requests and hang while they report themselves healthy: their requests would wait until the deadline.
 *
 * @param objectiveMs - Milliseconds within which a response is on time; most sound targets respond sooner.
 */
export function getResponseLimitMs (objectiveMs: number, remainingMs: number): number {
  return Math.min(objectiveMs, remainingMs * RESPONSE_LIMIT_SHARE)
}

/** Earlier dispatches of a request and the bounds on further ones. */
export interface AttemptHistory {
  /** Number of times that the request was dispatched to a target. */
  readonly sends: number
  /** Number of dispatches that may have run. */
  readonly runs: number
  readonly isRepeatable: boolean
  readonly maxAttempts: number
  /** Milliseconds until the request's deadline. */
  readonly remainingMs: number
}

/** Decision after an attempt without a response. */
export type RetryDecision =
  | { readonly type: 'retry' }
  | { readonly type: 'refuse', readonly reason: RefusalReason }

/**
 * Decides whether a request is sent to a further target.
 *
 * A request that may have run is resent only if it is repeatable; otherwise it could run twice.
 */
export function decideRetry (history: AttemptHistory): RetryDecision {
  const { sends, runs, isRepeatable, maxAttempts, remainingMs } = history
  if (remainingMs < MIN_ATTEMPT_MS) return { type: 'refuse', reason: runs > 0 ? 'deadline-passed' : 'timeout-not-run' }
  if (runs > 0 && (!isRepeatable || runs >= maxAttempts)) return { type: 'refuse', reason: 'attempts-failed' }
  if (sends >= maxAttempts + EXTRA_DISPATCHES) return { type: 'refuse', reason: runs > 0 ? 'attempts-failed' : 'retries-exhausted' }
  return { type: 'retry' }
}
