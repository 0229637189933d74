/** The durable right of one attempt to run a call; written before the call is dispatched. */
export interface Claim {
  /** Id of the attempt: `{ledgerKey}#{epoch}`. */
  readonly attempt: string
  /** Grows by 1 with each claim of the row. */
  readonly epoch: number
  readonly call: number
  /** Digest of the request, to tell a resent call from another one. */
  readonly requestDigest: string
  readonly repeatable: boolean
  /** Id of the target instance. */
  readonly target: string
  /** Incarnation of the sidecar beside the target. */
  readonly incarnation: string
  /** Id of the entry that may dispatch the attempt. */
  readonly claimer: string
  readonly claimedAt: number
  readonly deadline: number
  readonly reservedTokens: number
  /** True when an earlier attempt of this call may have run. */
  readonly mayHaveRun: boolean
  /** Number of attempts made for this call, this one included. */
  readonly tries: number
}

/** Milliseconds for which an absent attempt may still be on its way from its claimer. */
export const CLAIM_GRACE_MS = 1_000
