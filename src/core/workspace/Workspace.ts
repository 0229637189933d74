/** Limit of the requests of a workspace over all gateways together. */
export interface Quota {
  /** Requests per second, sustained. */
  readonly perSecond: number
  /** Requests that may come at once after a pause. */
  readonly burst: number
}

/** One customer of the operator, whose requests are told apart by their key. */
export interface Workspace {
  /** Unique name; sent to targets and written to the log. */
  readonly name: string
  /** Urgency of its requests, 0 being the highest; undefined if that of the route holds. */
  readonly priority: number | undefined
  /** Undefined if its requests are not limited. */
  readonly quota: Quota | undefined
}
