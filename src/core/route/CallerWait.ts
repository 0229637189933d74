import type { Route } from './Route.js'

/** Shortest time in milliseconds without an event after which callers close a stream. */
const MIN_CALLER_WAIT_MS = 2_000

/** Callers' maximum wait for an event, as a multiple of the route's latency objective. */
const WAIT_OBJECTIVE_FACTOR = 4

/** Callers' maximum wait for an event, as a multiple of the route's longest gap between events. */
const WAIT_GAP_FACTOR = 8

/** Gets the milliseconds for which callers wait for the next event of a stream or for its end. */
export function getCallerWaitMs (route: Route): number {
  return Math.max(MIN_CALLER_WAIT_MS, WAIT_OBJECTIVE_FACTOR * route.objectiveMs, WAIT_GAP_FACTOR * route.maxGapMs)
}
