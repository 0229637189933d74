import { Right, type Either } from 'purify-ts'
import type { TurnRow } from '../history/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import type { Refusal } from '../reason/index.js'
import { CallLedger, type CallDecision, type ReplacedClaim } from './CallLedger.js'
import type { Claim } from './Claim.js'

const EMPTY_TRANSACTION: Transaction = { conditions: [], puts: [] }

/** In-memory ledger of a repeatable request outside any session; nothing is stored, so it works without the store. */
export class EphemeralLedger extends CallLedger {
  readonly key: string
  private _epoch = 0
  private _pending: Claim | undefined

  /** @param requestId - Id that the entry assigned to the request. */
  constructor (requestId: string) {
    super()
    this.key = `request/${requestId}`
  }

  isDurable (): boolean {
    return false
  }

  getKeys (): string[] {
    return []
  }

  decide (_rows: Rows, _now: number): Either<Refusal, CallDecision> {
    return Right(this._pending === undefined ? { type: 'claim' } : { type: 'join', claim: this._pending })
  }

  decideReplacement (_rows: Rows, _replaced: ReplacedClaim, _now: number): Either<Refusal, true> {
    return Right(true)
  }

  getNextEpoch (_rows: Rows): number {
    return ++this._epoch
  }

  toClaimTransaction (_rows: Rows, claim: Claim, _replaced?: ReplacedClaim): Transaction {
    this._pending = claim
    return EMPTY_TRANSACTION
  }

  toReleaseTransaction (_rows: Rows, _replaced: ReplacedClaim): Transaction {
    return EMPTY_TRANSACTION
  }

  toSettleTransaction (_rows: Rows, _claim: Claim, _turn: TurnRow): Transaction {
    return EMPTY_TRANSACTION
  }
}
