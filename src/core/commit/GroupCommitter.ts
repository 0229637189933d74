import type { Condition, Put, Row, Rows, Transaction, TransactionResult } from '../platform/index.js'

/** Default for the largest number of rows written by one batch. */
export const DEFAULT_BATCH_ROWS = 200

/** Pause after the first step without a response, in milliseconds; it doubles up to the cap. */
export const COMMIT_BACKOFF_MS = 50

/** Longest pause between two attempts of a step, in milliseconds. */
export const COMMIT_BACKOFF_CAP_MS = 1_000

/** Result of a commit. */
export const CommitResult = {
  Committed: 'committed',
  /** A condition failed and nothing was written. */
  Conflict: 'conflict',
  /** The deadline passed before the commit was sent; nothing has been or will be written. */
  NotWritten: 'not-written',
  /** The deadline passed after the commit was sent; it may take effect at any time. */
  Unknown: 'unknown'
} as const
export type CommitResult = typeof CommitResult[keyof typeof CommitResult]

/** One commit to be included in a batch. */
export interface CommitRequest {
  readonly id: number
  readonly transaction: Transaction
  /** Time until which the requester waits, in milliseconds since the Unix epoch. */
  readonly deadline: number
}

/** A commit with its result. */
export interface Settlement {
  readonly id: number
  readonly result: CommitResult
}

/** The next operation that the committer requests from the table. */
export type CommitterStep =
  | { readonly type: 'commit', readonly transaction: Transaction }
  | { readonly type: 'read', readonly keys: readonly string[] }

/** Options of {@link GroupCommitter}. */
export interface GroupCommitterOptions {
  /** Key of a row that only this committer writes; it must be unique to this incarnation of the process. */
  readonly writerKey: string
  readonly batchRows?: number
  /** Returns a number in [0, 1) for jitter. */
  readonly random?: () => number
}

interface Batch {
  readonly id: number
  readonly requests: readonly CommitRequest[]
}

/**
 * Groups commits into batches and determines whether a batch took effect when its response was lost.
 *
 * @remarks One batch is outstanding at a time. Each batch is conditional on the version of the writer row and increments
 * it, so at most one batch takes effect per version, even if a batch is sent repeatedly or a copy of it arrives late.
 */
export class GroupCommitter {
  private readonly _writerKey: string
  private readonly _batchRows: number
  private readonly _random: () => number
  private readonly _queue: CommitRequest[] = []
  /** Ids of requests of the outstanding batch that were settled as unknown at their deadline. */
  private readonly _expired = new Set<number>()
  /** Batches sent for the current version of the writer row, of which a late copy may still take effect; the last one is current. */
  private _variants: Batch[] = []
  private _writerVersion = 0
  private _nextBatchId = 1
  private _isOutstanding = false
  private _needsRead = false
  private _failures = 0
  private _retryAt = 0

  constructor (options: GroupCommitterOptions) {
    this._writerKey = options.writerKey
    this._batchRows = options.batchRows ?? DEFAULT_BATCH_ROWS
    this._random = options.random ?? (() => 0)
  }

  /** Queues a commit. */
  add (req: CommitRequest): void {
    this._queue.push(req)
  }

  /** Gets the number of commits that are queued or outstanding. */
  getPendingCount (): number {
    return this._queue.length + (this._getCurrent()?.requests.length ?? 0)
  }

  /** Gets the time before which {@link next} returns nothing after a failure. */
  getRetryTime (): number {
    return this._retryAt
  }

  /** Checks whether the last step got no response from the table. */
  isFailing (): boolean {
    return this._failures > 0
  }

  /** Gets the next operation for the table, or undefined when none is due. */
  next (now: number): CommitterStep | undefined {
    if (this._isOutstanding || now < this._retryAt) return undefined
    if (this._needsRead) {
      this._isOutstanding = true
      return { type: 'read', keys: [this._writerKey] }
    }
    const batch = this._getCurrent() ?? this._startBatch()
    if (batch === undefined) return undefined
    this._isOutstanding = true
    return { type: 'commit', transaction: this._toTransaction(batch) }
  }

  /** Handles the table's response to a commit step. */
  onResponse (result: TransactionResult): Settlement[] {
    this._onResponseReceived()
    const batch = this._getCurrent()!
    if (result.type === 'committed') return this._settleCommitted(batch)
    if (result.keys.includes(this._writerKey)) {
      this._needsRead = true
      return []
    }
    return this._settleConflicting(batch, result.keys)
  }

  /** Handles the table's response to a read step. */
  onRead (rows: Rows): Settlement[] {
    this._onResponseReceived()
    this._needsRead = false
    const row = rows.get(this._writerKey)
    const committed = this._findVariant(row)
    if (row === undefined || committed === undefined) return []
    return this._settleCommitted(committed)
  }

  /** Records that a step got no response; it is retried after a pause. */
  onNoResponse (now: number): void {
    this._isOutstanding = false
    const pause = Math.min(COMMIT_BACKOFF_CAP_MS, COMMIT_BACKOFF_MS * 2 ** Math.min(this._failures, 10))
    this._failures++
    this._retryAt = now + pause / 2 + this._random() * pause / 2
  }

  /** Settles the commits whose deadline has passed: `not-written` if they are still queued, `unknown` if they were sent. */
  expire (now: number): Settlement[] {
    const settled: Settlement[] = []
    for (const req of this._queue.filter(req => req.deadline <= now)) {
      this._queue.splice(this._queue.indexOf(req), 1)
      settled.push({ id: req.id, result: CommitResult.NotWritten })
    }
    for (const req of this._getCurrent()?.requests ?? []) {
      if (req.deadline > now || this._expired.has(req.id)) continue
      this._expired.add(req.id)
      settled.push({ id: req.id, result: CommitResult.Unknown })
    }
    return settled
  }

  private _getCurrent (): Batch | undefined {
    return this._variants.at(-1)
  }

  private _onResponseReceived (): void {
    this._isOutstanding = false
    this._failures = 0
    this._retryAt = 0
  }

  private _startBatch (): Batch | undefined {
    const selected: CommitRequest[] = []
    const keys = new Set<string>()
    let rows = 0
    for (const req of [...this._queue]) {
      const touched = getTouchedKeys(req.transaction)
      if (selected.length > 0 && rows + req.transaction.puts.length > this._batchRows) break
      if (touched.some(key => keys.has(key))) continue
      for (const key of touched) keys.add(key)
      rows += req.transaction.puts.length
      selected.push(req)
      this._queue.splice(this._queue.indexOf(req), 1)
    }
    return selected.length === 0 ? undefined : this._addVariant(selected)
  }

  private _addVariant (requests: readonly CommitRequest[]): Batch {
    const batch = { id: this._nextBatchId++, requests }
    this._variants.push(batch)
    return batch
  }

  private _toTransaction (batch: Batch): Transaction {
    const conditions: Condition[] = [{ key: this._writerKey, version: this._writerVersion }]
    const puts: Put[] = [{ key: this._writerKey, value: { batch: batch.id } }]
    for (const req of batch.requests) {
      conditions.push(...req.transaction.conditions)
      puts.push(...req.transaction.puts)
    }
    return { conditions, puts }
  }

  private _findVariant (row: Row | undefined): Batch | undefined {
    if (row === undefined || row.version <= this._writerVersion) return undefined
    const id = (row.value as { batch: number }).batch
    return this._variants.find(variant => variant.id === id)
  }

  private _settleCommitted (committed: Batch): Settlement[] {
    const current = this._getCurrent()!
    const missing = current.requests.filter(req => !committed.requests.includes(req))
    this._variants = []
    this._writerVersion++
    this._queue.unshift(...missing)
    return this._settle(committed.requests, CommitResult.Committed)
  }

  private _settleConflicting (batch: Batch, keys: readonly string[]): Settlement[] {
    const isConflicting = (req: CommitRequest): boolean => req.transaction.conditions.some(condition => keys.includes(condition.key))
    const conflicting = batch.requests.filter(isConflicting)
    const remaining = batch.requests.filter(req => !isConflicting(req))
    if (remaining.length === 0) this._variants = []
    else this._addVariant(remaining)
    return this._settle(conflicting, CommitResult.Conflict)
  }

  private _settle (requests: readonly CommitRequest[], result: CommitResult): Settlement[] {
    const waiting = requests.filter(req => !this._expired.delete(req.id))
    return waiting.map(req => ({ id: req.id, result }))
  }
}

function getTouchedKeys (transaction: Transaction): string[] {
  return [...transaction.conditions.map(condition => condition.key), ...transaction.puts.map(put => put.key)]
}
