import type { TurnRow } from '../history/index.js'
import { Outcome, type Refusal, type RefusalReason, type RetryReason } from '../reason/index.js'
import type { Reply } from './CallEffects.js'
import type { ReplacedClaim } from './CallLedger.js'

/** Result of one round of a call: a reply, or the reason for another round. */
export type RoundResult =
  | { readonly type: 'reply', readonly reply: Reply }
  | { readonly type: 'again', readonly reason: RetryReason }

/** Builds the round result that ends the call with a reply. */
export function toReply (reply: Reply): RoundResult {
  return { type: 'reply', reply }
}

/** Builds the reply that refuses a call. */
export function toRefusalReply (reason: RefusalReason, retryAfterSeconds?: number): Reply {
  return { type: 'refusal', refusal: { reason, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) } }
}

/** Builds the reply for a finished turn; a turn without a response gives the refusal `outcome-unknown`. */
export function toTurnReply (turn: TurnRow, isReplay: boolean): Reply {
  if (turn.outcome === Outcome.Answered) return { type: 'answer', turn, isReplay }
  return toRefusalReply('outcome-unknown')
}

/** Checks whether the replaced attempt, or one before it, may have run. */
export function hasPossiblyRun (replaced: ReplacedClaim | undefined): boolean {
  return replaced !== undefined && (replaced.isCharged || replaced.claim.mayHaveRun)
}

/** Builds the refusal for a call of which an attempt may have run; a plain refusal would state that nothing ran. */
export function toAttemptsFailed (cause: Refusal): Refusal {
  return { reason: 'attempts-failed', detail: cause.reason }
}
