import type { Clock } from '../clock/index.js'
import { CommitResult } from '../commit/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import { CLAIM_TIMEOUT_MS, LEDGER_MAX_AGE_MS, LOCATE_INTERVAL_MS, MAX_ATTEMPTS } from './callLimits.js'
import type { CallEffect, CallEvent } from './CallEffects.js'
import { applyTransaction, type CallLedger } from './CallLedger.js'
import { addCrashedTarget, getSuspectKey, isQuarantined, type SuspectRow } from './SuspectRow.js'

/** Generator that yields effects and is resumed with their events; procedures are composed of these. */
export type EffectGenerator<T> = Generator<CallEffect, T, CallEvent>

/** Options of {@link LedgerAccess}. */
export interface LedgerAccessOptions {
  readonly ledger: CallLedger
  readonly clock: Clock
  /** Digest of the request, under which the targets that it crashed are recorded. */
  readonly contentDigest: string
}

/** Reads and commits the rows of one call and tracks when they were read. */
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

  /** Gets the rows of the last read with the transactions committed since by this call. */
  getRows (): Rows {
    return this._rows
  }

  /** Reads the rows; returns false when the store did not respond. */
  * read (): EffectGenerator<boolean> {
    // The age counts from the request: a process that was paused handles the response late, and the rows would look fresh.
    const requestedAt = this._options.clock.now()
    const event = yield { type: 'read', keys: [...this._options.ledger.getKeys(), this._suspectKey] }
    if (event.type !== 'rows') return false
    this._rows = event.rows
    this._readAt = requestedAt
    return true
  }

  /** Reads the rows; waits for a short time when the store does not respond. */
  * readOrWait (): EffectGenerator<void> {
    const isRead = yield * this.read()
    if (!isRead) yield { type: 'wait', ms: LOCATE_INTERVAL_MS }
  }

  /** Checks whether the rows are too old to exclude a change by another process. */
  isStale (): boolean {
    return this._options.ledger.isDurable() && this._options.clock.now() - this._readAt > LEDGER_MAX_AGE_MS
  }

  /** Commits a transaction and, if it was committed, applies it to the rows. */
  * commit (transaction: Transaction, deadline: number): EffectGenerator<CommitResult> {
    const event = yield { type: 'commit', transaction, deadline }
    const result = event.type === 'commit-result' ? event.result : CommitResult.Unknown
    if (result === CommitResult.Committed) this._rows = applyTransaction(this._rows, transaction)
    return result
  }

  /** Checks whether the request has crashed too many targets to run again. */
  isQuarantined (): boolean {
    return isQuarantined(this._getSuspect()) || isQuarantined({ targets: [...this._crashedTargets] })
  }

  /** Records a crash before the next attempt, so that another process that continues the call counts it for the quarantine. */
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
