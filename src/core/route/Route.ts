/** Kinds of routes, which determine whether a request may run again. */
export const RouteKind = {
  /** May run any number of times. */
  Idempotent: 'idempotent',
  /** Runs at most once for each attempt of the caller. */
  NonIdempotent: 'non-idempotent',
  /** Responds with a stream of events; runs at most once unless the stream is resumable. */
  Streaming: 'streaming'
} as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A service that a route sends requests to, and its weight. */
export interface Backend {
  readonly service: string
  /** Share of the requests, relative to the weights of the other backends. */
  readonly weight: number
}

/** One route of the operator's configuration. */
export interface Route {
  readonly name: string
  /** Host in lower case, without a port. */
  readonly host: string
  /** Prefix of the paths that the route matches; starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly backends: readonly Backend[]
  /** Deadline of a request, in milliseconds; a response is sent by then in any case. */
  readonly timeoutMs: number
  /** Milliseconds within which a response, or the first event of a stream, counts as on time. */
  readonly objectiveMs: number
  /** Priority among routes; 0 is the highest. */
  readonly priority: number
  /** Largest number of targets on which one attempt of the caller may run. */
  readonly maxAttempts: number
  /** True when turns are stored, so that later turns can continue from them. */
  readonly isRetained: boolean
  /** Milliseconds for which a finished turn is stored. */
  readonly retentionMs: number
  /** True when an interrupted stream may continue at another target after its last complete event. */
  readonly isResumable: boolean
  /** Longest gap between two events of a stream, in milliseconds, that counts as on time. */
  readonly maxGapMs: number
  /** True when requests need no key, and belong to no workspace. */
  readonly isPublic: boolean
}

/** Checks whether a request of a route may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Streaming && route.isResumable)
}
