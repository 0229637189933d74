import type { AttemptState, RunResult } from '../call/index.js'
import { MAX_CLOCK_SKEW_MS } from '../ticket/index.js'
import type { RefusalReason } from '../reason/index.js'

/** Default maximum number of attempt records; the oldest finished ones are evicted first. */
export const MAX_ATTEMPT_RECORDS = 100_000

/** Milliseconds after the arrival of an attempt for which its unacknowledged response is kept. */
export const RESPONSE_RETENTION_MS = 900_000

/** State of one attempt at a sidecar. */
export interface AttemptRecord {
  readonly attempt: string
  readonly ledgerKey: string
  readonly epoch: number
  /** Time in milliseconds since the Unix epoch at which the first message about the attempt arrived. */
  readonly seenAt: number
  readonly state: AttemptState
  /** Reason for which the attempt was refused or cancelled. */
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
 * Keeps a record of every attempt seen by the sidecar, so that none runs twice and none runs after it was cancelled.
 *
 * @remarks Memory is bounded: the oldest records are evicted. The table keeps the latest arrival time of an evicted record.
 * An attempt without a record that was claimed before that time may have run, so it is reported as gone, never as absent.
 */
export class AttemptTable {
  private readonly _records = new Map<string, AttemptRecord>()
  private readonly _latestEpochs = new Map<string, number>()
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

  /** Gets the record of an attempt; throws if there is none. */
  getOrThrow (attempt: string): AttemptRecord {
    const record = this._records.get(attempt)
    if (record === undefined) throw new RangeError(`There is no record of attempt ${attempt}.`)
    return record
  }

  /** Gets the records of all queued or running attempts. */
  getActive (): AttemptRecord[] {
    return [...this._active]
  }

  /** Checks whether an attempt with a higher epoch has arrived for the same ledger row. */
  isStale (ledgerKey: string, epoch: number): boolean {
    return (this._latestEpochs.get(ledgerKey) ?? 0) > epoch
  }

  /** Checks whether the record of an attempt claimed at a given time may have been evicted, allowing for clock skew. */
  mayHaveBeenEvicted (claimedAt: number): boolean {
    return claimedAt <= this._evictedUpTo + MAX_CLOCK_SKEW_MS
  }

  /** Adds the record of an attempt. */
  add (record: AttemptRecord): void {
    this._records.set(record.attempt, record)
    this._index(record)
    this._latestEpochs.set(record.ledgerKey, Math.max(record.epoch, this._latestEpochs.get(record.ledgerKey) ?? 0))
  }

  /** Sets the state of an attempt. */
  setState (record: AttemptRecord, state: AttemptState): void {
    (record as { state: AttemptState }).state = state
    this._index(record)
  }

  /** Evicts the oldest finished records beyond the limit; returns the ids of their attempts, whose responses can be dropped. */
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

  /** Drops the responses that were not acknowledged within the retention period; returns the ids of their attempts. */
  dropExpiredResponses (now: number): string[] {
    const expired = [...this._done].filter(record => record.seenAt + RESPONSE_RETENTION_MS <= now)
    for (const record of expired) this.dropResponse(record)
    return expired.map(record => record.attempt)
  }

  /** Drops the response of a finished attempt but keeps its record, so that the attempt can't run again. */
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
    const isLatest = this._latestEpochs.get(record.ledgerKey) === record.epoch
    if (isLatest) this._latestEpochs.delete(record.ledgerKey)
  }
}
