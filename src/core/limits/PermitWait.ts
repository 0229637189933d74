/** Share of its remaining time for which the first turn of a program may wait for a permit. */
const FIRST_TURN_WAIT_SHARE = 0.1

/** Share of its remaining time for which a request of a program in progress may wait; the rest is for the target. */
const IN_PROGRESS_WAIT_SHARE = 0.5

/** Shortest time in seconds after which a refused caller may retry. */
const MIN_RETRY_SECONDS = 0.3

/** A request that needs a permit. */
export interface PermitWaitRequest {
  /** True if earlier work of the program would be lost with this request. */
  readonly isInProgress: boolean
  /** Milliseconds within which the caller needs the response to begin. */
  readonly remainingMs: number
}

/**
 * Gets the longest time in milliseconds for which a request may wait for a permit.
 *
 * Answers the load of a service whose targets together accept less than what arrives: programs in progress keep the permits, and new ones
 * are refused at once as soon as permits are not available nearly immediately.
 */
export function getMaxPermitWaitMs ({ isInProgress, remainingMs }: PermitWaitRequest): number {
  return Math.max(0, remainingMs) * (isInProgress ? IN_PROGRESS_WAIT_SHARE : FIRST_TURN_WAIT_SHARE)
}

/**
 * Gets the seconds after which a caller may retry that was refused for a wait of `waitMs`.
 *
 * Answers callers that are refused together: they are spread over as long again as the wait, so that they do not return together.
 *
 * @param random - Gets a random number in [0, 1).
 */
export function getRetrySeconds (waitMs: number, random: () => number): number {
  return Math.max(MIN_RETRY_SECONDS, waitMs / 1_000) * (1 + random())
}
