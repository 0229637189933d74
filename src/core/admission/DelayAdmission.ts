/** Multiple of the latency objective beyond which a measured delay is evidence of missing capacity. */
const MAX_OBJECTIVES = 2

/** The best placement of a request, with what its caller waits for. */
export interface DelayedRequest {
  /** True if earlier work of the program would be lost with the request. */
  readonly isInProgress: boolean
  /** Predicted milliseconds to the first byte at the best target, its measured delay included. */
  readonly predictedMs: number
  /** Measured delay of recent responses beyond their prediction, in milliseconds. */
  readonly excessMs: number
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number
  /** Milliseconds after which the caller no longer waits for the first byte. */
  readonly remainingMs: number
}

/**
 * Gets the milliseconds after which a program may begin for which the measured delay is too long now; undefined if the request is sent.
 *
 * Answers first turns that wait in the queues of targets until their callers leave, and make the others later for nothing. A program in
 * progress is sent in any case, since a late one is worth a part of its value and a refused one may be lost.
 */
export function getDelayWaitMs ({ isInProgress, predictedMs, excessMs, objectiveMs, remainingMs }: DelayedRequest): number | undefined {
  if (isInProgress || excessMs <= MAX_OBJECTIVES * objectiveMs || predictedMs <= remainingMs) return undefined
  return predictedMs - remainingMs
}
