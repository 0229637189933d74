/** Permission for one attempt to run a call; in a durable ledger it is committed before the attempt is dispatched. */
export interface Claim {
  /** Id of the attempt: `{ledgerKey}#{epoch}`. */
  readonly attempt: string
  /** Number of the claim in its ledger row; each claim increments it by 1. */
  readonly epoch: number
  readonly call: number
  /** Digest of the request, which distinguishes a resent call from a different one with the same number. */
  readonly requestDigest: string
  readonly repeatable: boolean
  /** Id of the target instance. */
  readonly target: string
  /** Incarnation of the sidecar beside the target. */
  readonly incarnation: string
  /** Id of the entry that made the claim; only this entry may dispatch the attempt. */
  readonly claimer: string
  readonly claimedAt: number
  readonly deadline: number
  readonly reservedTokens: number
  /** True when an earlier attempt of this call may have run. */
  readonly mayHaveRun: boolean
  /** Number of attempts made for this call, including this one. */
  readonly tries: number
}

/** Milliseconds after a claim within which its dispatch may still reach the sidecar; other entries do not cancel it before. */
export const CLAIM_GRACE_MS = 1_000
