/** What may be repeated about the requests of a route. */
export const RouteKind = {
  /** May run any number of times. */
  Idempotent: 'idempotent',
  /** Runs at most once for each attempt of the caller. */
  NonIdempotent: 'non-idempotent',
  /** Answers with events; runs at most once unless the stream may be resumed. */
  Streaming: 'streaming'
} as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A service that a route sends requests to, with its share of them. */
export interface Backend {
  readonly service: string
  /** Share relative to the route's other backends. */
  readonly weight: number
}

/** One route of the operator's configuration. */
export interface Route {
  readonly name: string
  /** Host in lower case, without a port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly backends: readonly Backend[]
  /** Milliseconds after which a request is answered in any case. */
  readonly timeoutMs: number
  /** Milliseconds within which an answer, or the first event of a stream, is on time. */
  readonly objectiveMs: number
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number
  /** Largest number of targets on which one attempt of the caller may run. */
  readonly maxAttempts: number
  /** True when turns continue from earlier turns that the system keeps. */
  readonly isRetained: boolean
  /** Milliseconds for which a finished turn is kept. */
  readonly retentionMs: number
  /** True when a stream may go on at another target after its last whole event. */
  readonly isResumable: boolean
  /** Longest pause between events, in milliseconds, for a stream to be on time. */
  readonly maxGapMs: number
}

/** Tells whether a request of a route may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Streaming && route.isResumable)
}
