/** Slowdown of the best target from which no program begins there: one that began would take about as many times as long as expected. */
const MAX_SLOWDOWN = 5

/** Multiple of a route's latency objective from which the predicted time to the first event has the same effect. */
const MAX_OBJECTIVES = 2

/** Wait in milliseconds that a refusal states; targets recover as their programs end, within seconds. */
const RETRY_WAIT_MS = 1_000

/** A turn of a program, with the state of its service. */
export interface AdmissionRequest {
  /** True if the program has had turns that ran. */
  readonly isInProgress: boolean
  /** True if targets of the service limit their request rate, so that the others have more work than usual for as long as that lasts. */
  readonly isScarce: boolean
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number
  /** Predicted milliseconds to the first event at the best target, its recent delay included. */
  readonly predictedMs: number
  /** Factor by which the best target generates streams more slowly than at the best pace of its service. */
  readonly slowdown: number
}

/**
 * Gets the milliseconds after which a refused program may try again; undefined if the turn is admitted.
 *
 * Answers the load of a service whose requests have moved to the few targets without a limit: a further program would be late itself, and
 * make those in progress later. A turn of a program in progress is admitted, because the work of the earlier ones would be lost with it.
 * A burst at targets without limits passes within seconds, so that programs are better served late than refused.
 */
export function getAdmissionWaitMs ({ isInProgress, isScarce, objectiveMs, predictedMs, slowdown }: AdmissionRequest): number | undefined {
  if (isInProgress || !isScarce) return undefined
  return predictedMs > MAX_OBJECTIVES * objectiveMs || slowdown > MAX_SLOWDOWN ? RETRY_WAIT_MS : undefined
}
