import type { RefusalReason } from '../reason/index.js'

/** Targets beyond a route's attempts that may be asked when those before stated that they did not run the request. */
export const EXTRA_DISPATCHES = 3

/** Milliseconds that a further attempt needs at least. */
export const MIN_ATTEMPT_MS = 20

/** What happened to a request so far. */
export interface AttemptHistory {
  /** Times that the request was given to a target. */
  readonly sends: number
  /** Those of them that may have run. */
  readonly runs: number
  readonly isRepeatable: boolean
  readonly maxAttempts: number
  /** Milliseconds left until the request's deadline. */
  readonly remainingMs: number
}

/** What to do after an attempt without an answer. */
export type RetryDecision =
  | { readonly type: 'retry' }
  | { readonly type: 'refuse', readonly reason: RefusalReason }

/**
 * Decides whether a request goes to a further target.
 *
 * A request that may have run goes on only if it may be repeated; nothing else is ever sent twice.
 */
export function decideRetry (history: AttemptHistory): RetryDecision {
  const { sends, runs, isRepeatable, maxAttempts, remainingMs } = history
  if (remainingMs < MIN_ATTEMPT_MS) return { type: 'refuse', reason: runs > 0 ? 'deadline-passed' : 'timeout-not-run' }
  if (runs > 0 && (!isRepeatable || runs >= maxAttempts)) return { type: 'refuse', reason: 'attempts-failed' }
  if (sends >= maxAttempts + EXTRA_DISPATCHES) return { type: 'refuse', reason: runs > 0 ? 'attempts-failed' : 'retries-exhausted' }
  return { type: 'retry' }
}
