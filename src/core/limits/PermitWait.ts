/** Share of its remaining time for which the first turn of a program may wait for a permit. */
const FIRST_TURN_WAIT_SHARE = 0.1

/** Share of its remaining time for which a request of a program in progress may wait; the rest is for the target. */
const IN_PROGRESS_WAIT_SHARE = 0.5

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
