import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { StoreError, type RowChange, type RowSnapshot, type StoredRow } from '../../core/platform/index.js'
import type { DecisionLog } from '../process/index.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds for which the store may delay the response to a watch by default; a silent connection costs this time and the margin. */
export const WATCH_MS = 1_000

/** Milliseconds beyond the wait after which a watch has failed. */
const WATCH_MARGIN_MS = 600

/** Milliseconds between two tries while calls of the store fail. */
const RETRY_MS = 300

/** Milliseconds after which a table is read again although no change was reported. */
const REREAD_MS = 15_000

/** Milliseconds for reading a complete table. */
const READ_TIMEOUT_MS = 2_000

/** Options of {@link TableWatch}. */
export interface TableWatchOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  readonly table: string
  /** Called with all rows of the table after each complete read, and the time of the store's steady clock. */
  readonly onRows: (rows: readonly StoredRow[], timeMs: number | undefined) => void
  /** Called with each change that a watch reports. */
  readonly onChange: (change: RowChange, timeMs: number | undefined) => void
  /** Milliseconds for which the store may delay the response to a watch. */
  readonly waitMs?: number
  /** Gets the end of the latest pause of the process; the table is read again after each. */
  readonly getResumedAt?: () => number
}

/** Follows a table without partitions: reads it completely, then watches for changes, and reads it again after a gap. */
export class TableWatch {
  private readonly _options: TableWatchOptions
  private readonly _stop = new AbortController()
  private _version = 0
  private _readAt = -Infinity
  private _confirmedAt = -Infinity

  constructor (options: TableWatchOptions) {
    this._options = options
  }

  /** Follows the table until {@link close}. */
  async run (): Promise<void> {
    while (!this._stop.signal.aborted) {
      try {
        if (this._options.clock.now() - this._readAt > REREAD_MS || !this.isConfirmedSincePause()) await this._readAll()
        await this._watch()
      } catch (err) {
        if (!(err instanceof StoreError)) this._logFailure(err)
        await sleep(RETRY_MS)
      }
    }
  }

  /** Gets the milliseconds since the rows were last confirmed to be up to date. */
  getAgeMs (): number {
    return this._options.clock.now() - this._confirmedAt
  }

  /** Gets the time after which a change that is being applied was made. */
  getConfirmedAt (): number {
    return this._confirmedAt
  }

  /** Checks whether a read that began at the given time or later has confirmed the rows. */
  isConfirmedSince (time: number): boolean {
    return this._confirmedAt >= time
  }

  /** Checks whether the rows were confirmed since the latest pause of the process. */
  isConfirmedSincePause (): boolean {
    return this.isConfirmedSince(this._getResumedAt())
  }

  /** Checks whether the table was read. */
  isRead (): boolean {
    return this._confirmedAt > -Infinity
  }

  /** Reads the table once, beside the watch in progress; {@link isConfirmedSince} tells whether the read has succeeded. */
  async confirm (): Promise<void> {
    const { access, clock, table } = this._options
    const startedAt = clock.now()
    try {
      this.applyRead(await access.readOnce({ table, part: '' }, startedAt + READ_TIMEOUT_MS), startedAt)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
    }
  }

  /** Applies a complete read that began at the given time, unless a later version of the table was applied meanwhile. */
  applyRead ({ rows, version, timeMs }: RowSnapshot, startedAt: number): void {
    if (version >= this._version) {
      this._notify(() => { this._options.onRows(rows, timeMs) })
      this._version = version
    }
    this._recordConfirmed(startedAt)
  }

  /** Stops after the call in progress. */
  close (): void {
    this._stop.abort()
  }

  /** Runs a listener; a row that it can't handle doesn't end the following of the table. */
  private _notify (listener: () => void): void {
    try {
      listener()
    } catch (err) {
      this._logFailure(err)
    }
  }

  private _logFailure (err: unknown): void {
    const { log, table } = this._options
    log.warn('watch-failed', { table, version: this._version, cause: err instanceof Error ? err.stack : String(err) })
  }

  private _getResumedAt (): number {
    return this._options.getResumedAt?.() ?? -Infinity
  }

  /** Records that the rows are those of a call that began at the given time; a call may end after a later one. */
  private _recordConfirmed (startedAt: number): void {
    this._confirmedAt = Math.max(this._confirmedAt, startedAt)
  }

  private async _readAll (): Promise<void> {
    const { access, clock, table } = this._options
    const startedAt = clock.now()
    const versionBefore = this._version
    const { rows, version, timeMs } = await access.read({ table, part: '' }, startedAt + READ_TIMEOUT_MS)
    this._readAt = startedAt
    // A read beside this one may have applied later rows. Otherwise an earlier version is that of a store that was started anew.
    if (this._version !== versionBefore && version < this._version) return
    this._notify(() => { this._options.onRows(rows, timeMs) })
    this._version = version
    this._recordConfirmed(startedAt)
  }

  private async _watch (): Promise<void> {
    const { access, clock, log, table, waitMs = WATCH_MS } = this._options
    const startedAt = clock.now()
    const after = this._version
    const feed = await access.watch(table, after, waitMs, waitMs + WATCH_MARGIN_MS)
    // A read beside the watch has applied some of the changes; the next watch reports those after it.
    if (this._version !== after) return
    if (feed.type === 'gap') {
      log.info('watch-gap', { table, version: this._version })
      this._readAt = -Infinity
      return
    }
    for (const change of feed.changes) this._notify(() => { this._options.onChange(change, feed.timeMs) })
    this._version = feed.version
    this._recordConfirmed(startedAt)
  }
}
