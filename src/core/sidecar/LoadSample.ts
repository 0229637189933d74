/** Load of one target as reported by its sidecar with heartbeats and responses. */
export interface LoadSample {
  readonly incarnation: string
  readonly isLeaving: boolean
  /** Highest configuration version that the sidecar has received. */
  readonly configVersion: number
  /** Maximum number of concurrent requests. */
  readonly slots: number
  readonly running: number
  readonly queued: number
  /** Total number of tokens that the waiting requests may generate. */
  readonly queuedTokens: number
  /** Moving average of the time between two tokens of a run in milliseconds; 0 if there is no recent measurement. */
  readonly msPerToken: number
  /** Moving average of the duration of a run in milliseconds; 0 before the first measurement. */
  readonly runMs: number
}
