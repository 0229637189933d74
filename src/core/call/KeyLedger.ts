import { Left, Right, type Either } from 'purify-ts'
import { digestOf, type TurnRow } from '../history/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import type { Refusal } from '../reason/index.js'
import { CallLedger, type CallDecision, type ReplacedClaim } from './CallLedger.js'
import type { Claim } from './Claim.js'

/** The ledger row of a plain request with an idempotency key, stored under `key/{digest}`. */
export interface KeyRow {
  readonly workspace: string
  readonly service: string
  /** Number of claims so far. */
  readonly epoch: number
  readonly requestDigest: string
  readonly pending?: Claim
  /** The finished turn; absent while the request is unfinished. */
  readonly turn?: TurnRow
}

/** Options of {@link KeyLedger}. */
export interface KeyLedgerOptions {
  readonly workspace: string
  readonly service: string
  readonly idempotencyKey: string
  readonly requestDigest: string
}

/** Gets the table key for an idempotency key, which is hashed because callers choose it. */
export function getKeyRowKey (workspace: string, service: string, idempotencyKey: string): string {
  return `key/${digestOf(workspace, service, idempotencyKey)}`
}

/** Decides about one plain request that may not be repeated. */
export class KeyLedger extends CallLedger {
  readonly key: string
  private readonly _options: KeyLedgerOptions

  constructor (options: KeyLedgerOptions) {
    super()
    this._options = options
    this.key = getKeyRowKey(options.workspace, options.service, options.idempotencyKey)
  }

  isDurable (): boolean {
    return true
  }

  getKeys (): string[] {
    return [this.key]
  }

  decide (rows: Rows, _now: number): Either<Refusal, CallDecision> {
    const row = this._getRow(rows)
    if (row === undefined) return Right({ type: 'claim' })
    if (row.requestDigest !== this._options.requestDigest) return Left({ reason: 'call-conflict' })
    if (row.turn !== undefined) return Right({ type: 'replay', turn: row.turn })
    if (row.pending !== undefined) return Right({ type: 'join', claim: row.pending })
    return Right({ type: 'claim' })
  }

  decideReplacement (_rows: Rows, _replaced: ReplacedClaim, _now: number): Either<Refusal, true> {
    return Right(true)
  }

  getNextEpoch (rows: Rows): number {
    return (this._getRow(rows)?.epoch ?? 0) + 1
  }

  toClaimTransaction (rows: Rows, claim: Claim, _replaced?: ReplacedClaim): Transaction {
    return this._toTransaction(rows, { epoch: claim.epoch, pending: claim })
  }

  toReleaseTransaction (rows: Rows, replaced: ReplacedClaim): Transaction {
    return this._toTransaction(rows, { epoch: replaced.claim.epoch })
  }

  toSettleTransaction (rows: Rows, claim: Claim, turn: TurnRow): Transaction {
    return this._toTransaction(rows, { epoch: claim.epoch, turn })
  }

  private _toTransaction (rows: Rows, changes: Pick<KeyRow, 'epoch' | 'pending' | 'turn'>): Transaction {
    const { workspace, service, requestDigest } = this._options
    const value: KeyRow = { workspace, service, requestDigest, ...changes }
    return {
      conditions: [{ key: this.key, version: rows.get(this.key)?.version ?? 0 }],
      puts: [{ key: this.key, value }]
    }
  }

  private _getRow (rows: Rows): KeyRow | undefined {
    return rows.get(this.key)?.value as KeyRow | undefined
  }
}
