/** State of one target as its sidecar sees it; carried by heartbeats and replies. */
export interface LoadSample {
  readonly incarnation: string
  readonly isLeaving: boolean
  /** Highest configuration version that the sidecar has heard of. */
  readonly configVersion: number
  /** Requests that run at once. */
  readonly slots: number
  readonly running: number
  readonly queued: number
  /** Tokens that the waiting requests may generate. */
  readonly queuedTokens: number
  /** Moving average of the time between two tokens of a run, in milliseconds; 0 while nothing recent is known. */
  readonly msPerToken: number
  /** Moving average of the time of a run in milliseconds; 0 while unknown. */
  readonly runMs: number
}
