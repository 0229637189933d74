import type { TurnRow } from '../history/index.js'
import { Outcome, type Refusal, type RefusalReason, type RetryReason } from '../reason/index.js'
import type { Reply } from './CallEffects.js'
import type { ReplacedClaim } from './CallLedger.js'

/** How a part of a call ends: with a reply, or with another round. */
export type RoundResult =
  | { readonly type: 'reply', readonly reply: Reply }
  | { readonly type: 'again', readonly reason: RetryReason }

/** Wraps a reply. */
export function toReply (reply: Reply): RoundResult {
  return { type: 'reply', reply }
}

/** Builds a refusal. */
export function toRefusalReply (reason: RefusalReason, retryAfterSeconds?: number): Reply {
  return { type: 'refusal', refusal: { reason, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) } }
}

/** Builds the reply that a stored turn gives. */
export function toTurnReply (turn: TurnRow, isReplay: boolean): Reply {
  if (turn.outcome === Outcome.Answered) return { type: 'answer', turn, isReplay }
  return toRefusalReply('outcome-unknown')
}

/** Tells whether an earlier attempt of a call may have run. */
export function hasPossiblyRun (replaced: ReplacedClaim | undefined): boolean {
  return replaced !== undefined && (replaced.isCharged || replaced.claim.mayHaveRun)
}

/** Turns a refusal into one that does not claim that nothing ran. */
export function toAttemptsFailed (cause: Refusal): Refusal {
  return { reason: 'attempts-failed', detail: cause.reason }
}
