/** Share of its time that a caller may wait before it comes again. */
const MAX_RETRY_DELAY_SHARE = 1 / 3

/** What is known when a turn that has to be saved arrives. */
export interface TurnArrival {
  /** True while the store does not answer, so that the turn's end has to wait. */
  readonly isStoreUnavailable: boolean
  /** Milliseconds until the caller's deadline. */
  readonly remainingMs: number
  /** Milliseconds for which the caller waits for the end of a stream. */
  readonly maxWaitMs: number
}

/**
 * Decides whether a turn that cannot end before the store is back runs now.
 *
 * Answers outages that last longer than callers wait for an end: as long as a caller can come again and still wait as long, it is told
 * to; its last try runs, and the end waits for the store. Running at once uses up a caller's tries sooner, and so does refusing each time.
 */
export function shouldRunTurn (arrival: TurnArrival): boolean {
  const { isStoreUnavailable: isStoreUnavailable, remainingMs, maxWaitMs: maxWaitMs } = arrival
  return !isStoreUnavailable || remainingMs * (1 - MAX_RETRY_DELAY_SHARE) < maxWaitMs
}
