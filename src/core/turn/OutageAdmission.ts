/** Largest share of its remaining time that a caller may wait before a retry. */
const MAX_RETRY_DELAY_SHARE = 1 / 3

/** Conditions at the arrival of a turn that has to be saved. */
export interface TurnArrival {
  /** True while the store is unavailable, which delays the completion of the turn. */
  readonly isStoreUnavailable: boolean
  /** Milliseconds until the caller's deadline. */
  readonly remainingMs: number
  /** Maximum milliseconds that the caller waits for the end of a stream. */
  readonly maxWaitMs: number
}

/**
 * Decides whether a turn that cannot complete before the store is available again runs now.
 *
 * Handles outages that last longer than callers wait for the end of a stream. A turn is refused while its caller can retry and then still
 * wait for the maximum time; the caller's last try runs, and its completion waits for the store. Running each try at once or refusing
 * each one would use up the caller's tries sooner.
 */
export function shouldRunTurn (arrival: TurnArrival): boolean {
  const { isStoreUnavailable, remainingMs, maxWaitMs } = arrival
  return !isStoreUnavailable || remainingMs * (1 - MAX_RETRY_DELAY_SHARE) < maxWaitMs
}
