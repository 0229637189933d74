import type { Either } from 'purify-ts'
import type { TurnRow } from '../history/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import type { Refusal } from '../reason/index.js'
import type { Claim } from './Claim.js'

/** What a ledger allows for a call. */
export type CallDecision =
  /** The call has finished; this is its stored answer. */
  | { readonly type: 'replay', readonly turn: TurnRow }
  /** An attempt of this call is under way. */
  | { readonly type: 'join', readonly claim: Claim }
  /** The call may be claimed; its worst case fits the budget. */
  | { readonly type: 'claim' }

/** What a claim replaces, when an earlier attempt of the same call ended without a result. */
export interface ReplacedClaim {
  readonly claim: Claim
  /** True when the earlier attempt may have generated its whole reservation. */
  readonly isCharged: boolean
}

/**
 * Decides about the calls recorded in one ledger row; the row is changed by compare-and-set only.
 *
 * @remarks Implementations are pure. Each method that returns a transaction conditions it on the rows given.
 */
export abstract class CallLedger {
  /** Key of the ledger row. */
  abstract readonly key: string

  /** Gets the keys to read before {@link decide}. */
  abstract getKeys (): string[]

  /** Decides what may happen to the call. */
  abstract decide (rows: Rows, now: number): Either<Refusal, CallDecision>

  /** Decides whether a claim may be replaced by one of the same size. */
  abstract decideReplacement (rows: Rows, replaced: ReplacedClaim, now: number): Either<Refusal, true>

  /** Gets the epoch for the next claim. */
  abstract getNextEpoch (rows: Rows): number

  /** Builds the transaction that records a claim, in place of an earlier one if given. */
  abstract toClaimTransaction (rows: Rows, claim: Claim, replaced?: ReplacedClaim): Transaction

  /** Builds the transaction that withdraws a claim whose attempt is proved not to have run, or is charged in full. */
  abstract toReleaseTransaction (rows: Rows, replaced: ReplacedClaim): Transaction

  /** Builds the transaction that records the end of a call and its answer. */
  abstract toSettleTransaction (rows: Rows, claim: Claim, turn: TurnRow): Transaction

  /** Tells whether the ledger keeps anything in the table. */
  abstract isDurable (): boolean
}

/** Gets the rows as they are after a committed transaction. */
export function applyTransaction (rows: Rows, transaction: Transaction): Rows {
  const next = new Map(rows)
  for (const put of transaction.puts) {
    if (put.value === undefined) next.delete(put.key)
    else next.set(put.key, { version: (rows.get(put.key)?.version ?? 0) + 1, value: put.value })
  }
  return next
}
