/** Weight of the newest response in the moving averages of a route. */
const AVERAGE_WEIGHT = 0.1

/** Responses from which the work of a route is known. */
const MIN_RESPONSES = 5

/**
 * Responses from which the shortest one is taken for the least time of a route: a further one is shorter with a chance of 1 in 101.
 *
 * After 5 responses the chance is 1 in 6, and all 5 may belong to one burst or have long outputs.
 */
const MIN_LEAST_RESPONSES = 100

/** Bounds of the output of a request beside the average of its route: the limit that it states says little of its length. */
const MIN_OUTPUT = 0.25
const MAX_OUTPUT = 4

/** Maximum number of routes that are tracked; the one that was used the longest ago is dropped. */
const MAX_ROUTES = 1_000

/** What the responses of one route took. */
interface RouteResponses {
  responses: number
  averageMs: number
  /** Shortest time that a response has taken. */
  leastMs: number
  averageTokens: number
}

/** Learns how long the requests of each route take a place at a target, from responses that were complete. */
export class RouteWork {
  private readonly _routes = new Map<string, RouteResponses>()

  /**
   * Records a complete response.
   *
   * @param maxOutputTokens - Tokens that the response may have had; 0 where it is no stream of tokens.
   * @param tookMs - Milliseconds from the sending of the request to the end of its response.
   */
  record (route: string, maxOutputTokens: number, tookMs: number): void {
    const known = this._routes.get(route)
    this._routes.delete(route)
    this._routes.set(route, known === undefined
      ? { responses: 1, averageMs: tookMs, leastMs: tookMs, averageTokens: maxOutputTokens }
      : {
          responses: known.responses + 1,
          averageMs: known.averageMs + AVERAGE_WEIGHT * (tookMs - known.averageMs),
          leastMs: Math.min(known.leastMs, tookMs),
          averageTokens: known.averageTokens + AVERAGE_WEIGHT * (maxOutputTokens - known.averageTokens)
        })
    if (this._routes.size > MAX_ROUTES) this._routes.delete(this._routes.keys().next().value!)
  }

  /** Gets the milliseconds for which a request probably takes a place; undefined while too little is known. */
  getMs (route: string, maxOutputTokens: number): number | undefined {
    const known = this._routes.get(route)
    if (known === undefined || known.responses < MIN_RESPONSES) return undefined
    const output = known.averageTokens > 0 ? Math.max(MIN_OUTPUT, Math.min(MAX_OUTPUT, maxOutputTokens / known.averageTokens)) : 1
    return known.averageMs * output
  }

  /** Gets the shortest time in milliseconds that a response of a route has taken; 0 while too little is known. */
  getLeastMs (route: string): number {
    const known = this._routes.get(route)
    return known === undefined || known.responses < MIN_LEAST_RESPONSES ? 0 : known.leastMs
  }
}
