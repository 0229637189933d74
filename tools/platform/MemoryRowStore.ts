import { setTimeout as sleep } from 'node:timers/promises'
import {
  getPartitionOf, getPieces, RowStore, StoreError, StoreFailure,
  type CallOptions, type RowChange, type RowCommit, type RowFeed, type RowKey, type RowRange, type RowSnapshot, type RowTransaction,
  type StoredRow, type StorePartition
} from '../../src/core/platform/index.js'

/** Milliseconds for which the store has run before this process. */
const STARTED_MS_AGO = 1_000_000

interface RowEntry {
  readonly key: RowKey
  /** Undefined for a removed row. */
  readonly value: Uint8Array | undefined
  readonly version: number
}

/** In-memory row store with the semantics of the platform's store, for tests and stand-ins. */
export class MemoryRowStore extends RowStore {
  private readonly _entries = new Map<string, RowEntry>()
  private _version = 1
  private _historyStart = 0
  private _watchers: Array<() => void> = []

  /** Number of calls of each kind. */
  readonly calls = { commit: 0, read: 0, watch: 0 }
  /** Failure of all calls while set; with `answer-lost` a transaction is committed and only its response is lost. */
  failure: 'refused' | 'rejected' | 'silent' | 'answer-lost' | undefined
  /** Partitions whose calls are refused, or time out at the caller without a response. */
  readonly failedPartitions = new Map<string, 'refused' | 'silent'>()

  /** Gets the milliseconds of the store's steady clock. */
  getTimeMs: () => number = () => Math.round(performance.now()) + STARTED_MS_AGO

  /** Tables to which commits are refused. */
  readonly readOnlyTables = new Set<string>()

  async commit (transaction: RowTransaction, options?: CallOptions): Promise<RowCommit> {
    this.calls.commit++
    this._failIfUnavailable()
    await this._failIfPartitionUnavailable(getPartitionOf(transaction), options)
    const isRefused = (transaction.puts ?? []).some(put => this.readOnlyTables.has(put.table))
    if (isRefused) throw new StoreError(StoreFailure.Refused, 'The table accepts no commits.')
    const result = this.apply(transaction)
    if (this.failure === 'answer-lost') throw new StoreError(StoreFailure.NoResponse, 'The response to a commit was lost.')
    return result
  }

  async read (range: RowRange, options?: CallOptions): Promise<RowSnapshot> {
    this.calls.read++
    this._failIfUnavailable()
    await this._failIfPartitionUnavailable(range, options)
    const rows = [...this._entries.values()].flatMap(entry => isInRange(entry, range) ? [toRow(entry)] : [])
    rows.sort((a, b) => a.key < b.key ? -1 : 1)
    return { rows, version: this._version, timeMs: this.getTimeMs() }
  }

  async watch (table: string, after: number, waitMs: number): Promise<RowFeed> {
    this.calls.watch++
    this._failIfUnavailable()
    if (after < this._historyStart) return { type: 'gap' }
    if (this._getChanges(table, after).length === 0) await this._waitForChange(waitMs)
    this._failIfUnavailable()
    return { type: 'changes', changes: this._getChanges(table, after), version: this._version, timeMs: this.getTimeMs() }
  }

  /** Applies a transaction if its conditions hold, even while {@link failure} is set. */
  apply (transaction: RowTransaction): RowCommit {
    const conditions = transaction.conditions ?? []
    if (conditions.some(condition => this._getVersion(condition) !== condition.version)) {
      return { type: 'conflict', rows: conditions.flatMap(condition => this.getRow(condition) ?? []) }
    }
    this._version++
    for (const put of transaction.puts ?? []) this._set(put, Buffer.concat(getPieces(put)))
    for (const key of transaction.removes ?? []) this._set(key, undefined)
    for (const wake of this._watchers.splice(0)) wake()
    return { type: 'committed', version: this._version }
  }

  /** Gets a row, or undefined if it does not exist. */
  getRow (key: RowKey): StoredRow | undefined {
    const entry = this._entries.get(toId(key))
    return entry?.value === undefined ? undefined : toRow(entry)
  }

  /** Gets the number of rows of a table, in all partitions. */
  getTableSize (table: string): number {
    return [...this._entries.values()].filter(entry => entry.key.table === table && entry.value !== undefined).length
  }

  /** Removes the history of changes: watches from an earlier version get a gap. */
  truncateHistory (): void {
    this._historyStart = ++this._version
    for (const wake of this._watchers.splice(0)) wake()
  }

  private _set (key: RowKey, value: Uint8Array | undefined): void {
    const { table, part, key: name } = key
    this._entries.set(toId(key), { key: { table, part, key: name }, value, version: this._version })
  }

  private _getVersion (key: RowKey): number {
    return this.getRow(key)?.version ?? 0
  }

  private _getChanges (table: string, after: number): RowChange[] {
    const entries = [...this._entries.values()].filter(entry => entry.key.table === table && entry.version > after)
    entries.sort((a, b) => a.version - b.version)
    return entries.map(entry => entry.value === undefined ? { type: 'removed', key: entry.key } : { type: 'put', row: toRow(entry) })
  }

  private async _waitForChange (waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs)
      this._watchers.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  private async _failIfPartitionUnavailable (partition: StorePartition, options?: CallOptions): Promise<void> {
    const failure = this.failedPartitions.get(partition.part)
    if (failure === 'refused') throw new StoreError(StoreFailure.Refused, `The partition "${partition.part}" is unavailable.`)
    if (failure === undefined) return
    await sleep(options?.timeoutMs ?? 0)
    throw new StoreError(StoreFailure.NoResponse, `The partition "${partition.part}" does not respond.`)
  }

  private _failIfUnavailable (): void {
    if (this.failure === 'rejected') throw new StoreError(StoreFailure.Rejected, 'The store accepts no such call.')
    if (this.failure === 'refused') throw new StoreError(StoreFailure.Refused, 'The store is unavailable.')
    if (this.failure === 'silent') throw new StoreError(StoreFailure.NoResponse, 'The store does not respond.')
  }
}

function isInRange (entry: RowEntry, range: RowRange): boolean {
  const { table, part, key } = entry.key
  return entry.value !== undefined && table === range.table && part === range.part && key >= (range.from ?? '') &&
    (range.to === undefined || key < range.to)
}

function toId (key: RowKey): string {
  return JSON.stringify([key.table, key.part, key.key])
}

function toRow (entry: RowEntry): StoredRow {
  return { ...entry.key, value: entry.value!, version: entry.version }
}
