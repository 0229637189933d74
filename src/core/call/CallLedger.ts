import type { Either } from 'purify-ts'
import type { TurnRow } from '../history/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import type { Refusal } from '../reason/index.js'
import type { Claim } from './Claim.js'

/** Next action that the ledger permits for a call. */
export type CallDecision =
  /** The call has finished; `turn` holds its stored response. */
  | { readonly type: 'replay', readonly turn: TurnRow }
  /** An attempt of this call is in progress. */
  | { readonly type: 'join', readonly claim: Claim }
  /** The call may be claimed; its largest possible spending fits the budget. */
  | { readonly type: 'claim' }

/** A claim to be replaced or withdrawn, because its attempt ended without a result. */
export interface ReplacedClaim {
  readonly claim: Claim
  /** True when the attempt may have generated all its reserved tokens, which are then counted as spent. */
  readonly isCharged: boolean
}

/**
 * Decides which calls of one ledger row may run; the row is only changed by compare-and-set.
 *
 * @remarks Implementations do no I/O. Each returned transaction is conditional on the versions of the rows passed in.
 */
export abstract class CallLedger {
  /** Key of the ledger row. */
  abstract readonly key: string

  /** Gets the keys to read before {@link decide}. */
  abstract getKeys (): string[]

  /** Decides whether the call is replayed, joined, claimed or refused. */
  abstract decide (rows: Rows, now: number): Either<Refusal, CallDecision>

  /** Decides whether a claim may be replaced by one that reserves the same number of tokens. */
  abstract decideReplacement (rows: Rows, replaced: ReplacedClaim, now: number): Either<Refusal, true>

  /** Gets the epoch for the next claim. */
  abstract getNextEpoch (rows: Rows): number

  /** Builds the transaction that records a claim, replacing an earlier one if given. */
  abstract toClaimTransaction (rows: Rows, claim: Claim, replaced?: ReplacedClaim): Transaction

  /** Builds the transaction that withdraws a claim whose attempt provably did not run or is charged in full. */
  abstract toReleaseTransaction (rows: Rows, replaced: ReplacedClaim): Transaction

  /** Builds the transaction that records the completion of a call and its response. */
  abstract toSettleTransaction (rows: Rows, claim: Claim, turn: TurnRow): Transaction

  /** Checks whether the ledger stores its row in the table. */
  abstract isDurable (): boolean
}

/** Gets a copy of the rows with a committed transaction applied. */
export function applyTransaction (rows: Rows, transaction: Transaction): Rows {
  const next = new Map(rows)
  for (const put of transaction.puts) {
    if (put.value === undefined) next.delete(put.key)
    else next.set(put.key, { version: (rows.get(put.key)?.version ?? 0) + 1, value: put.value })
  }
  return next
}
