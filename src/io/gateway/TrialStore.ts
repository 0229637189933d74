import { randomUUID } from 'node:crypto'
import type { Clock } from '../../core/clock/index.js'
import { StoreError, StoreFailure, type RowCommit, type RowKey, type StoredRow, type StoreTime } from '../../core/platform/index.js'
import { decodeTrialRow, getTrialKey, SuspectTrials, toTrialRow, type KnownTrial, type Trial, type TrialRun } from '../../core/suspect/index.js'
import type { DecisionLog } from '../process/index.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds for which a caller waits for its trial to begin. */
const BEGIN_TIMEOUT_MS = 1_000

/** Milliseconds for which a request waits until the row of its trial states its target; 75 times what a call of the store takes. */
const RECORD_TIMEOUT_MS = 300

/** Tries to write the row of a trial: its response may be lost, or the row of a trial that is over may have changed. */
const BEGIN_TRIES = 3

/** Milliseconds for which the removal of a trial's row is retried; after it the trial ends by its time. */
const END_TIMEOUT_MS = 10_000

/** Options of {@link TrialStore}. */
export interface TrialStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  readonly storeTime: StoreTime
  /** Gets the time of the store that a row states, by the steady clock; the present if it states none. */
  readonly getRowTime: (row: StoredRow) => number
}

/** Lets one gateway at a time try a request again that has crashed several targets, or may have. */
export class TrialStore {
  private readonly _options: TrialStoreOptions
  private readonly _trials = new SuspectTrials()
  private readonly _id = randomUUID()
  private _count = 0

  constructor (options: TrialStoreOptions) {
    this._options = options
  }

  /**
   * Begins a trial of a request; undefined if it is being tried elsewhere.
   *
   * Also undefined while the store can't decide it, as all gateways could try the request then.
   *
   * @param pending - Earlier runs whose outcome only this gateway would learn.
   */
  async begin (digests: readonly string[], requestId: string, pending: readonly TrialRun[] = []): Promise<Trial | undefined> {
    const { clock, log } = this._options
    const now = clock.now()
    if (this.isBegun(digests)) return undefined
    const trial: Trial = { holder: `${this._id}-${++this._count}`, digests }
    const versions = new Map(digests.map(digest => [digest, this._trials.getVersion(digest)]))
    // Other requests of this gateway don't ask the store meanwhile.
    for (const digest of digests) this._trials.set(digest, { holder: trial.holder, runs: pending, startedAt: now, version: 0 })
    const version = await this._write(trial, pending, versions, now + BEGIN_TIMEOUT_MS)
    if (version !== undefined) log.info('trial-begun', { req: requestId, digests })
    for (const digest of digests) {
      if (version !== undefined) this._trials.set(digest, { holder: trial.holder, runs: pending, startedAt: now, version })
      else if (this._holds(trial, digest)) this._trials.remove(digest)
    }
    return version === undefined ? undefined : trial
  }

  /**
   * States in the row of a trial to which target the request is sent, so that another gateway can judge the run if this one ends.
   *
   * Without the store the request is sent all the same, as before this was stated.
   */
  async recordRun (trial: Trial, incarnation: string): Promise<void> {
    const { access, clock, log, storeTime } = this._options
    const known = trial.digests.flatMap(digest => this._holds(trial, digest) ? this._trials.get(digest)! : [])[0]
    if (known === undefined || access.health.isUnavailable()) return
    const now = clock.now()
    const runs = [...moveRuns(known, now), { incarnation, sentMsAgo: 0, abandonedMsAgo: 0 }]
    const conditions = trial.digests.map(digest => ({ ...getTrialKey(digest), version: this._trials.getVersion(digest) }))
    const puts = trial.digests.map(digest => toTrialRow(digest, { holder: trial.holder, runs }, storeTime.toStoreTime(now)))
    try {
      const result = await access.commitOnce({ conditions, puts }, now + RECORD_TIMEOUT_MS)
      if (result.type !== 'committed') return
      const written: KnownTrial = { holder: trial.holder, runs, startedAt: now, version: result.version }
      for (const digest of trial.digests) if (this._holds(trial, digest)) this._trials.set(digest, written)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('trial-not-written', { digests: trial.digests, cause: err.message })
    }
  }

  /** Gets the trial of a request by another gateway, also one whose time is over; undefined if none is known. */
  getOther (digest: string): KnownTrial | undefined {
    const trial = this._trials.get(digest)
    return trial?.holder.startsWith(this._id) === true ? undefined : trial
  }

  /** Checks whether a request is being tried, as far as this gateway knows. */
  isBegun (digests: readonly string[]): boolean {
    const now = this._options.clock.now()
    return digests.some(digest => this._trials.getHolder(digest, now) !== undefined)
  }

  /** Checks whether a trial is neither over nor replaced. */
  isHeld (trial: Trial): boolean {
    return trial.digests.some(digest => this._holds(trial, digest))
  }

  /** Ends a trial, so that the request can be tried again. */
  async end (trial: Trial): Promise<void> {
    const { access, clock, log } = this._options
    const held = trial.digests.filter(digest => this._holds(trial, digest))
    if (held.length === 0) return
    const conditions = held.map(digest => ({ ...getTrialKey(digest), version: this._trials.getVersion(digest) }))
    for (const digest of held) this._trials.remove(digest)
    try {
      await access.commitRepeatable({ conditions, removes: held.map(getTrialKey) }, clock.now() + END_TIMEOUT_MS)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('trial-not-ended', { digests: held, cause: err.message })
    }
  }

  /**
   * Ends the trial of a request by this gateway as part of another transaction; returns the rows that it has to remove.
   *
   * @param incarnation - Target whose end is the outcome; a trial that has sent the request elsewhere since goes on.
   */
  take (digest: string, incarnation?: string): RowKey[] {
    const trial = this._trials.get(digest)
    if (trial === undefined || this._trials.getHolder(digest, this._options.clock.now())?.startsWith(this._id) !== true) return []
    const latest = trial.runs.at(-1)
    if (incarnation !== undefined && latest !== undefined && latest.incarnation !== incarnation) return []
    this._trials.remove(digest)
    return [getTrialKey(digest)]
  }

  /** Applies a row that the store shows; returns whether it is one of a trial. */
  applyRow (row: StoredRow): boolean {
    return this._trials.apply(row, this._options.getRowTime(row))
  }

  /** Applies the removal of a row. */
  removeRow (key: RowKey): void {
    this._trials.removeRow(key)
  }

  /** Removes the trials that the store does not show. */
  retainStored (keys: readonly RowKey[]): void {
    this._trials.retainStored(keys)
  }

  private _holds ({ holder }: Trial, digest: string): boolean {
    return this._trials.getHolder(digest, this._options.clock.now()) === holder
  }

  /** Writes the rows of a trial; returns their version, or undefined if another trial has them. */
  private async _write (
    trial: Trial, runs: readonly TrialRun[], versions: Map<string, number>, deadline: number
  ): Promise<number | undefined> {
    const { access, clock, log, storeTime } = this._options
    const puts = trial.digests.map(digest => toTrialRow(digest, { holder: trial.holder, runs }, storeTime.toStoreTime(clock.now())))
    for (let at = 0; at < BEGIN_TRIES; at++) {
      const conditions = [...versions].map(([digest, version]) => ({ ...getTrialKey(digest), version }))
      let result: RowCommit
      try {
        result = await access.commitOnce({ conditions, puts }, deadline)
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        log.warn('trial-not-written', { digests: trial.digests, cause: err.message })
        if (err.failure === StoreFailure.NoResponse) continue
        return undefined
      }
      if (result.type === 'committed') return result.version
      const { rows } = result
      // The response to an earlier try was lost.
      if (rows.length > 0 && rows.every(row => decodeTrialRow(row.value).holder === trial.holder)) return rows[0]!.version
      for (const digest of trial.digests) {
        const row = rows.find(({ key }) => key === getTrialKey(digest).key)
        versions.set(digest, row?.version ?? 0)
        if (row !== undefined) this._trials.apply(row, this._options.getRowTime(row))
      }
      const now = clock.now()
      if (trial.digests.some(digest => ![undefined, trial.holder].includes(this._trials.getHolder(digest, now)))) return undefined
    }
    return undefined
  }
}

/** Gets the runs of a trial as its row states them when it is written again. */
function moveRuns ({ runs, startedAt }: KnownTrial, now: number): TrialRun[] {
  const laterMs = Math.max(0, Math.round(now - startedAt))
  return runs.map(({ incarnation, sentMsAgo, abandonedMsAgo }) => ({
    incarnation, sentMsAgo: sentMsAgo + laterMs, abandonedMsAgo: abandonedMsAgo + laterMs
  }))
}
