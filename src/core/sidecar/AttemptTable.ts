import type { AttemptState, RunResult } from '../call/index.js'
import { MAX_CLOCK_SKEW_MS } from '../ticket/index.js'
import type { RefusalReason } from '../reason/index.js'

/** Attempts that a sidecar remembers; the oldest finished ones are forgotten first. */
export const MAX_ATTEMPT_RECORDS = 100_000

/** Milliseconds for which an unacknowledged answer is kept. */
export const RESPONSE_RETENTION_MS = 900_000

/** What a sidecar knows about one attempt. */
export interface AttemptRecord {
  readonly attempt: string
  readonly ledgerKey: string
  readonly epoch: number
  /** Milliseconds since the Unix epoch at which the attempt was first heard of. */
  readonly seenAt: number
  readonly state: AttemptState
  /** Why the attempt was refused or cancelled. */
  reason?: RefusalReason
  readonly maxTokens: number
  readonly deadline: number
  readonly holdKey: string
  readonly queuedAt: number
  startedAt: number
  firstByteAt: number
  lastTokenAt: number
  tokens: number
  result?: RunResult
}

/**
 * Remembers every attempt that the sidecar has heard of, so that none runs twice and none runs after it was cancelled.
 *
 * @remarks Memory is bounded. When records are forgotten, a horizon notes up to when; attempts claimed before it are
 * reported as gone, never as absent.
 */
export class AttemptTable {
  private readonly _records = new Map<string, AttemptRecord>()
  private readonly _epochs = new Map<string, number>()
  private readonly _active = new Set<AttemptRecord>()
  private readonly _done = new Set<AttemptRecord>()
  private readonly _maxRecords: number
  private _evictedUpTo = -Infinity

  constructor (maxRecords = MAX_ATTEMPT_RECORDS) {
    this._maxRecords = maxRecords
  }

  /** Gets the record of an attempt. */
  get (attempt: string): AttemptRecord | undefined {
    return this._records.get(attempt)
  }

  /** Gets the record of an attempt; throws when there is none. */
  getOrThrow (attempt: string): AttemptRecord {
    const record = this._records.get(attempt)
    if (record === undefined) throw new RangeError(`There is no attempt ${attempt}.`)
    return record
  }

  /** Gets the records that are queued or running. */
  getActive (): AttemptRecord[] {
    return [...this._active]
  }

  /** Tells whether a later attempt for the same ledger row has been seen. */
  isStale (ledgerKey: string, epoch: number): boolean {
    return (this._epochs.get(ledgerKey) ?? 0) > epoch
  }

  /** Tells whether an attempt claimed at that time may have been forgotten. */
  mayHaveBeenEvicted (claimedAt: number): boolean {
    return claimedAt <= this._evictedUpTo + MAX_CLOCK_SKEW_MS
  }

  /** Adds a record. */
  add (record: AttemptRecord): void {
    this._records.set(record.attempt, record)
    this._index(record)
    this._epochs.set(record.ledgerKey, Math.max(record.epoch, this._epochs.get(record.ledgerKey) ?? 0))
  }

  /** Moves an attempt to another state. */
  setState (record: AttemptRecord, state: AttemptState): void {
    (record as { state: AttemptState }).state = state
    this._index(record)
  }

  /** Forgets the oldest finished records beyond the limit; returns the attempts whose answers can be dropped. */
  evict (now: number): string[] {
    const evicted: string[] = []
    for (const record of this._records.values()) {
      if (this._records.size - evicted.length <= this._maxRecords) break
      if (this._active.has(record)) continue
      if (record.state === 'done' && record.seenAt + RESPONSE_RETENTION_MS > now) continue
      evicted.push(record.attempt)
    }
    for (const attempt of evicted) this._remove(attempt)
    return evicted
  }

  /** Drops the answers that nobody has acknowledged within the retention period; returns their attempts. */
  dropExpiredResponses (now: number): string[] {
    const expired = [...this._done].filter(record => record.seenAt + RESPONSE_RETENTION_MS <= now)
    for (const record of expired) this.dropResponse(record)
    return expired.map(record => record.attempt)
  }

  /** Drops the answer of a finished attempt and keeps the fact that it ran. */
  dropResponse (record: AttemptRecord): void {
    this.setState(record, 'gone')
    delete record.result
  }

  private _index (record: AttemptRecord): void {
    const isActive = record.state === 'queued' || record.state === 'running'
    if (isActive) this._active.add(record)
    else this._active.delete(record)
    if (record.state === 'done') this._done.add(record)
    else this._done.delete(record)
  }

  private _remove (attempt: string): void {
    const record = this.getOrThrow(attempt)
    this._done.delete(record)
    this._records.delete(attempt)
    this._evictedUpTo = Math.max(this._evictedUpTo, record.seenAt)
    const isLatest = this._epochs.get(record.ledgerKey) === record.epoch
    if (isLatest) this._epochs.delete(record.ledgerKey)
  }
}
