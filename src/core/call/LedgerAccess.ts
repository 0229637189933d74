import type { Clock } from '../clock/index.js'
import { CommitResult } from '../commit/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import { CLAIM_TIMEOUT_MS, LEDGER_MAX_AGE_MS, LOCATE_INTERVAL_MS, MAX_ATTEMPTS } from './callLimits.js'
import type { CallEffect, CallEvent } from './CallEffects.js'
import { applyTransaction, type CallLedger } from './CallLedger.js'
import { addCrashedTarget, getSuspectKey, isQuarantined, type SuspectRow } from './SuspectRow.js'

/** A part of a procedure: it yields effects and is resumed with their events. */
export type EffectGenerator<T> = Generator<CallEffect, T, CallEvent>

/** Options of {@link LedgerAccess}. */
export interface LedgerAccessOptions {
  readonly ledger: CallLedger
  readonly clock: Clock
  /** Digest that identifies the request, for the suspicion against it. */
  readonly contentDigest: string
}

/** Reads and changes the rows of one call, and knows how old they are. */
export class LedgerAccess {
  private readonly _options: LedgerAccessOptions
  private readonly _suspectKey: string
  private readonly _crashedTargets = new Set<string>()
  private _rows: Rows = new Map()
  private _readAt = 0

  constructor (options: LedgerAccessOptions) {
    this._options = options
    this._suspectKey = getSuspectKey(options.contentDigest)
  }

  /** Gets the rows as read last, with this call's own changes since. */
  getRows (): Rows {
    return this._rows
  }

  /** Reads the rows; returns whether the store answered. */
  * read (): EffectGenerator<boolean> {
    // The rows are as old as the question: the answer may have waited for a paused process.
    const requestedAt = this._options.clock.now()
    const event = yield { type: 'read', keys: [...this._options.ledger.getKeys(), this._suspectKey] }
    if (event.type !== 'rows') return false
    this._rows = event.rows
    this._readAt = requestedAt
    return true
  }

  /** Reads the rows, or waits a moment when the store does not answer. */
  * readOrWait (): EffectGenerator<void> {
    const isRead = yield * this.read()
    if (!isRead) yield { type: 'wait', ms: LOCATE_INTERVAL_MS }
  }

  /** Tells whether another process may have changed the ledger long since it was read. */
  isStale (): boolean {
    return this._options.ledger.isDurable() && this._options.clock.now() - this._readAt > LEDGER_MAX_AGE_MS
  }

  /** Commits a transaction and, when it took effect, takes it into the rows. */
  * commit (transaction: Transaction, deadline: number): EffectGenerator<CommitResult> {
    const event = yield { type: 'commit', transaction, deadline }
    const result = event.type === 'commit-result' ? event.result : CommitResult.Unknown
    if (result === CommitResult.Committed) this._rows = applyTransaction(this._rows, transaction)
    return result
  }

  /** Tells whether the request has crashed too many targets to be run again. */
  isQuarantined (): boolean {
    return isQuarantined(this._getSuspect()) || isQuarantined({ targets: [...this._crashedTargets] })
  }

  /** Records a crash before any other attempt, so that the next process knows of it. */
  * recordCrash (target: string): EffectGenerator<void> {
    this._crashedTargets.add(target)
    for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
      const condition = { key: this._suspectKey, version: this._rows.get(this._suspectKey)?.version ?? 0 }
      const put = { key: this._suspectKey, value: addCrashedTarget(this._getSuspect(), target) }
      const result = yield * this.commit({ conditions: [condition], puts: [put] }, this._options.clock.now() + CLAIM_TIMEOUT_MS)
      if (result !== CommitResult.Conflict) return
      yield * this.read()
    }
  }

  private _getSuspect (): SuspectRow | undefined {
    return this._rows.get(this._suspectKey)?.value as SuspectRow | undefined
  }
}
