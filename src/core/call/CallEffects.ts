import type { CommitResult } from '../commit/index.js'
import type { CallKind, Message, TurnRow } from '../history/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import type { Refusal, RefusalReason } from '../reason/index.js'
import type { SessionRow } from '../session/SessionRow.js'
import type { Claim } from './Claim.js'
import type { RunResult } from './RunResult.js'

/** Request of an entry to a sidecar to run one attempt. */
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
  /** Tokens that the session has generated so far; the sidecar's queue prefers sessions with fewer. */
  readonly attainedTokens: number
  /** Estimate of the prompt tokens. */
  readonly promptTokens: number
  /** Complete prompt of a model call: the history followed by the new messages. */
  readonly messages: readonly Message[]
  /** Key under which the engine keeps KV cache after the run, or an empty string when it should keep none. */
  readonly holdKey: string
}

/** I/O that a procedure requests from its runner; `reply`, `acknowledge` and `release` resume it immediately with `done`. */
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

/** State of an attempt as reported by the sidecar that it was addressed to. */
export const AttemptState = {
  Queued: 'queued',
  Running: 'running',
  Done: 'done',
  /** The sidecar has not received the attempt; with `cancelIfAbsent` it refuses the attempt from then on. */
  Absent: 'absent',
  /** The sidecar refused or cancelled the attempt before it ran. */
  NotRun: 'not-run',
  /** The sidecar keeps no result for the attempt, which ran or may have run. */
  ResultLost: 'gone',
  /** The sidecar restarted after the claim was made, so its incarnation differs from the claim's. */
  OtherIncarnation: 'other-incarnation'
} as const
export type AttemptState = typeof AttemptState[keyof typeof AttemptState]

/** Event with which a procedure is resumed after a {@link CallEffect}. */
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

/** Final message to the caller. */
export type Reply =
  | { readonly type: 'answer', readonly turn: TurnRow, readonly isReplay: boolean }
  | { readonly type: 'session', readonly session: SessionRow }
  | { readonly type: 'refusal', readonly refusal: Refusal }
