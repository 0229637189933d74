import type { CommitResult } from '../commit/index.js'
import type { CallKind, Message, TurnRow } from '../history/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import type { Refusal, RefusalReason } from '../reason/index.js'
import type { SessionRow } from '../session/SessionRow.js'
import type { Claim } from './Claim.js'
import type { RunResult } from './RunResult.js'

/** What an entry tells a sidecar about the attempt that it dispatches. */
export interface Dispatch {
  readonly claim: Claim
  readonly ledgerKey: string
  readonly workspace: string
  /** Service, operation and body of the request. */
  readonly service: string
  readonly operation: string
  readonly contentType: string
  readonly body: string
  readonly kind: CallKind
  /** Tokens that the session has generated so far; less goes first. */
  readonly attainedTokens: number
  /** Estimate of the prompt tokens. */
  readonly promptTokens: number
  /** Whole prompt of a model call: history and new messages. */
  readonly messages: readonly Message[]
  /** Key under which the engine holds memory, or an empty string when it should hold none. */
  readonly holdKey: string
}

/** What a procedure asks of its surroundings; `reply`, `acknowledge` and `release` are answered at once with `done`. */
export type CallEffect =
  | { readonly type: 'read', readonly keys: readonly string[] }
  | { readonly type: 'read-history' }
  | { readonly type: 'commit', readonly transaction: Transaction, readonly deadline: number }
  | { readonly type: 'dispatch', readonly dispatch: Dispatch }
  | { readonly type: 'attach', readonly claim: Claim }
  | { readonly type: 'locate', readonly claim: Claim, readonly cancelIfAbsent: boolean }
  | { readonly type: 'collect', readonly claim: Claim }
  | { readonly type: 'acknowledge', readonly claim: Claim }
  | { readonly type: 'release', readonly session: string, readonly targets: readonly string[] }
  | { readonly type: 'wait', readonly ms: number }
  | { readonly type: 'reply', readonly reply: Reply }

/** State of an attempt at the sidecar that was asked about it. */
export const AttemptState = {
  Queued: 'queued',
  Running: 'running',
  Done: 'done',
  /** The sidecar has never seen the attempt; it will refuse it if it was asked to cancel. */
  Absent: 'absent',
  /** The sidecar refused or cancelled the attempt before it ran. */
  NotRun: 'not-run',
  /** The sidecar ran the attempt, or cannot tell any more, and holds no answer. */
  ResultLost: 'gone',
  /** The sidecar is another incarnation than the one that the claim names. */
  OtherIncarnation: 'other-incarnation'
} as const
export type AttemptState = typeof AttemptState[keyof typeof AttemptState]

/** Answer to a {@link CallEffect}. */
export type CallEvent =
  | { readonly type: 'rows', readonly rows: Rows }
  | { readonly type: 'history', readonly messages: readonly Message[] }
  | { readonly type: 'history-damaged' }
  | { readonly type: 'unavailable' }
  | { readonly type: 'commit-result', readonly result: CommitResult }
  | { readonly type: 'ended' }
  | { readonly type: 'refused', readonly reason: RefusalReason }
  | { readonly type: 'lost' }
  | { readonly type: 'located', readonly state: AttemptState }
  | { readonly type: 'collected', readonly result: RunResult }
  | { readonly type: 'done' }

/** What the caller is told in the end. */
export type Reply =
  | { readonly type: 'answer', readonly turn: TurnRow, readonly isReplay: boolean }
  | { readonly type: 'session', readonly session: SessionRow }
  | { readonly type: 'refusal', readonly refusal: Refusal }
