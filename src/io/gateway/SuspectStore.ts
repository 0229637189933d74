import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { ROWS_PER_TRANSACTION, StoreError, StoreTime, type RowChange, type RowKey, type StoredRow } from '../../core/platform/index.js'
import {
  CRASH_WINDOW_MS, CrashEvidence, getSuspectKey, getSuspectTime, ABANDONED_GRACE_MS, SuspectList, SUSPECT_RETENTION_MS, toSuspectRow,
  type CrashRecord, type GetHeardAt, type LostRequest, type SentRun, type SuspectDigests, type Trial
} from '../../core/suspect/index.js'
import { TargetEndCause, type TargetState } from '../../core/target/index.js'
import type { DecisionLog } from '../process/index.js'
import { ExpiringRows } from './ExpiringRows.js'
import type { StoreAccess } from './StoreAccess.js'
import { TrialStore } from './TrialStore.js'

/** Milliseconds for which writing a crash to the store is retried. */
const WRITE_TIMEOUT_MS = 10_000

/** Milliseconds after its request for which the outcome of a trial is awaited; the row of a target expires in less. */
const OUTCOME_TIMEOUT_MS = 8_000

/** Milliseconds between two looks for the outcome of a trial. */
const OUTCOME_POLL_MS = 250

/** Milliseconds for which a request waits while it is tried elsewhere: most answers of plain services and removals of rows take less. */
const TRIAL_WAIT_MS = 300

/** Milliseconds between two looks whether a request may be tried. */
const TRIAL_POLL_MS = 25

/** Milliseconds after which a caller may return while its request is tried elsewhere. */
const TRIAL_RETRY_MS = 500

/** Maximum number of incarnations that are kept after their end with their state, for requests that still wait for them. */
const MAX_ENDED = 100

/** Options of {@link SuspectStore}. */
export interface SuspectStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  /** Gets a target by its incarnation; undefined if it is not listed. */
  readonly findTarget: (incarnation: string) => TargetState | undefined
  /** Checks whether a target responds, listed or not. */
  readonly isAlive: (state: TargetState) => Promise<boolean>
  /** Waits until the list of targets is confirmed by a read that begins later than now, or a time-out. */
  readonly confirmTargets: () => Promise<unknown>
}

/** A target that is gone, with how the store has shown it. */
interface EndedTarget {
  readonly state: TargetState
  readonly cause: TargetEndCause
}

/** Whether a request may be sent to a target. */
export type Admission =
  | { readonly type: 'admitted', readonly trial?: Trial }
  | { readonly type: 'refused', readonly refusedMs: number }

/** Shares between gateways which requests have crashed targets. */
export class SuspectStore {
  private readonly _options: SuspectStoreOptions
  private readonly _evidence = new CrashEvidence()
  private readonly _list = new SuspectList()
  private readonly _expiring: ExpiringRows
  private readonly _storeTime = new StoreTime()
  private readonly _trials: TrialStore
  private readonly _ended = new Map<string, EndedTarget>()

  constructor (options: SuspectStoreOptions) {
    const { access, clock, log } = options
    this._options = options
    const getRowTime = (row: StoredRow): number => this._getRowTime(row) ?? clock.now()
    this._trials = new TrialStore({ access, clock, log, storeTime: this._storeTime, getRowTime })
    this._expiring = new ExpiringRows({ access, clock, log, failureEvent: 'suspects-not-removed' })
  }

  /** Gets the milliseconds for which a request must not be run; 0 if it may be. */
  getRefusedMs (digests: SuspectDigests): number {
    const now = this._options.clock.now()
    return Math.max(...getAll(digests).map(digest => this._list.getRefusedMs(digest, now)))
  }

  /** Checks whether a request has crashed so many targets that only one of its copies may be run at a time. */
  isConfirmed (digests: SuspectDigests): boolean {
    const now = this._options.clock.now()
    return getAll(digests).some(digest => this._list.isConfirmed(digest, now))
  }

  /**
   * Decides whether a request may be run; one that has crashed several targets needs a trial, which {@link endTrial} ends.
   *
   * While it is tried elsewhere it waits for the outcome for a short time.
   */
  async admit (digests: SuspectDigests, requestId: string): Promise<Admission> {
    for (let waitedMs = 0; ; waitedMs += TRIAL_POLL_MS) {
      const now = this._options.clock.now()
      const confirmed = getAll(digests).filter(digest => this._list.isConfirmed(digest, now))
      if (confirmed.length === 0) return { type: 'admitted' }
      const refusedMs = this.getRefusedMs(digests)
      if (refusedMs > 0) return { type: 'refused', refusedMs }
      const trial = await this._trials.begin(confirmed, requestId)
      if (trial !== undefined) return { type: 'admitted', trial }
      const isWaiting = waitedMs < TRIAL_WAIT_MS && this._trials.isBegun(confirmed)
      if (!isWaiting) return { type: 'refused', refusedMs: TRIAL_RETRY_MS }
      await sleep(TRIAL_POLL_MS)
    }
  }

  /** Ends the trial of a request that is over, as soon as it is known whether a target that has run it goes on. */
  async endTrial (trial: Trial): Promise<void> {
    const { clock } = this._options
    const deadline = clock.now() + OUTCOME_TIMEOUT_MS
    let isAsked = false
    while (this._trials.isHeld(trial) && clock.now() < deadline) {
      const open = trial.digests.flatMap(digest => this._evidence.getAbandoned(digest))
      if (open.length === 0) break
      const isDue = open.every(({ abandonedAt }) => clock.now() > abandonedAt + ABANDONED_GRACE_MS)
      if (isDue) {
        await Promise.all([...new Set(open.map(({ incarnation }) => incarnation))].map(async incarnation => {
          await this._checkAlive(incarnation, !isAsked)
        }))
        isAsked = true
      }
      await sleep(OUTCOME_POLL_MS)
    }
    await this._trials.end(trial)
  }

  /** Records that this gateway does not wait any more for a target that may still run a request. */
  recordAbandoned (run: SentRun): void {
    this._evidence.addAbandoned({ ...run, abandonedAt: this._options.clock.now() })
    const ended = this._ended.get(run.incarnation)
    if (ended !== undefined) void this._infer(ended)
  }

  /** Records that a target is gone that was not leaving: what it ran and nobody awaits may have crashed it. */
  async recordEnd (state: TargetState, cause: TargetEndCause): Promise<void> {
    const ended: EndedTarget = { state, cause }
    this._ended.set(state.incarnation, ended)
    if (this._ended.size > MAX_ENDED) this._ended.delete(this._ended.keys().next().value!)
    await this._infer(ended)
  }

  /** Records that an incarnation is listed, so that an end that was inferred was none. */
  recordListed (incarnation: string): void {
    this._ended.delete(incarnation)
    this._retract(incarnation)
  }

  /** Records that the connection to a target was lost while it ran a request; what it is evidence of is known after the window. */
  async record (lost: LostRequest, requestId: string): Promise<void> {
    const { clock, log } = this._options
    const { digests, incarnation, others } = lost
    const now = clock.now()
    this._evidence.add(lost, now)
    log.info('connection-lost', { req: requestId, digests, lifetime: incarnation, others })
    // A request that was refused before counts at once, so that its caller's next try at another gateway does not run as well.
    const confirmed = digests.filter(digest => this._list.isConfirmed(digest, now))
    const isShared = Promise.all(confirmed.map(async digest => { await this._share({ digest, incarnation }) }))
    // A timer may fire a millisecond early by the steady clock.
    await sleep(CRASH_WINDOW_MS + 1)
    await Promise.all(this._evidence.evaluate(clock.now()).map(async crash => { await this._share(crash) }))
    await isShared
  }

  /** Forgets the crashes of a request that a target has answered, at all gateways: the request did not cause them. */
  async clear (digests: SuspectDigests, requestId: string): Promise<void> {
    const { log } = this._options
    for (const digest of getAll(digests)) {
      this._evidence.clear(digest)
      const incarnations = this._list.clear(digest)
      const trial = this._trials.take(digest)
      if (incarnations.length === 0 && trial.length === 0) continue
      log.info('suspect-cleared', { req: requestId, digest, crashes: incarnations.length })
      await this._remove([...trial, ...incarnations.map(incarnation => getSuspectKey(digest, incarnation))])
    }
  }

  /** Records that an incarnation has responded to a request, so that a connection that it lost before was no crash. */
  recordResponse (incarnation: string, sentAt: number): void {
    this._evidence.disprove(incarnation, sentAt)
    // One that was replaced may have been so before this gateway knew; then the next incarnation has responded.
    if (this._ended.get(incarnation)?.cause === TargetEndCause.Removed) this._retract(incarnation)
  }

  /** Removes the rows of crashes that have expired. */
  async removeExpired (): Promise<void> {
    await this._expiring.removeExpired()
  }

  private async _share ({ digest, incarnation }: CrashRecord): Promise<void> {
    const { access, clock, log } = this._options
    if (this._list.has(digest, incarnation)) return
    const isRefused = this._list.add(digest, incarnation, clock.now())
    log.info('crash-counted', { digest, lifetime: incarnation })
    if (isRefused) log.warn('suspect-confirmed', { digest, lifetime: incarnation })
    const row = toSuspectRow(digest, incarnation, this._storeTime.toStoreTime(clock.now()))
    this._expiring.add([getSuspectKey(digest, incarnation)], SUSPECT_RETENTION_MS)
    try {
      await access.commitRepeatable({ puts: [row], removes: this._trials.take(digest) }, clock.now() + WRITE_TIMEOUT_MS)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('suspect-not-shared', { digest, lifetime: incarnation, cause: err.message })
    }
  }

  /** Infers from the end of a target which requests may have crashed it. */
  private async _infer ({ state, cause }: EndedTarget): Promise<void> {
    const { clock, log, isAlive, findTarget } = this._options
    const { incarnation } = state
    // The next incarnation at the same address may have been heard before this gateway knew of it.
    const getHeardAt: GetHeardAt = time => cause === TargetEndCause.Replaced ? state.getHeardOnOpenAt(time) : state.getHeardAt()
    if (!this._evidence.hasSuspects(incarnation, getHeardAt)) return
    // A target that leaves unannounced has no row, but still serves.
    if (cause === TargetEndCause.Removed && await isAlive(state)) {
      log.info('target-alive', { target: incarnation })
      this._evidence.recordAlive(incarnation)
      return
    }
    if (findTarget(incarnation) !== undefined) return
    const crashes = this._evidence.infer(incarnation, getHeardAt, clock.now())
    await Promise.all(crashes.map(async crash => { await this._share(crash) }))
  }

  /** Checks whether a target that may still have a run goes on, by what it sent or by asking it. */
  private async _checkAlive (incarnation: string, mayAsk: boolean): Promise<void> {
    const { findTarget, isAlive, confirmTargets } = this._options
    const state = findTarget(incarnation)
    if (state === undefined) return
    const isSuspect = this._evidence.hasSuspects(incarnation, time => state.getHeardOnOpenAt(time))
    if (isSuspect && !(mayAsk && await isAlive(state))) return
    // The next incarnation at the same address may have responded.
    if (isSuspect) await confirmTargets()
    if (findTarget(incarnation) !== undefined) this._evidence.recordAlive(incarnation)
  }

  /** Takes back what was inferred from the end of an incarnation that lives. */
  private _retract (incarnation: string): void {
    const crashes = this._evidence.retract(incarnation)
    if (crashes.length === 0) return
    this._options.log.info('crash-retracted', { lifetime: incarnation, digests: crashes.map(({ digest }) => digest) })
    const keys = crashes.map(({ digest }) => getSuspectKey(digest, incarnation))
    for (const key of keys) this._list.removeRow(key)
    void this._remove(keys)
  }

  /** Applies all rows of the table: those of earlier lives keep their time, and those that were removed unseen end. */
  applyRows (rows: readonly StoredRow[], timeMs: number | undefined): void {
    const now = this._options.clock.now()
    this._storeTime.record(timeMs, now)
    this._list.retainStored(rows)
    this._trials.retainStored(rows)
    // A gateway that has ended does not remove its rows; earlier versions wrote them without a time.
    const isExpired = (row: StoredRow): boolean => now - (this._getRowTime(row) ?? -Infinity) >= SUSPECT_RETENTION_MS
    const expired = this._storeTime.isKnown() ? rows.filter(isExpired) : []
    for (const row of rows) if (!expired.includes(row)) this._applyRow(row)
    if (expired.length > 0) void this._remove(expired)
  }

  /** Applies a change that another gateway made. */
  applyChange (change: RowChange, timeMs: number | undefined): void {
    this._storeTime.record(timeMs, this._options.clock.now())
    if (change.type === 'put') this._applyRow(change.row)
    else {
      this._list.removeRow(change.key)
      this._trials.removeRow(change.key)
    }
  }

  private _applyRow (row: StoredRow): void {
    if (this._trials.applyRow(row)) return
    const { clock, log } = this._options
    if (this._list.addStored({ key: row, at: this._getRowTime(row) ?? clock.now() })) log.warn('suspect-confirmed', { row: row.key })
  }

  /** Gets the time that a row states, by the steady clock of this process; undefined if it is not known. */
  private _getRowTime ({ value }: StoredRow): number | undefined {
    const storeTime = getSuspectTime(value)
    const time = storeTime === undefined ? undefined : this._storeTime.toLocalTime(storeTime)
    return time === undefined ? undefined : Math.min(time, this._options.clock.now())
  }

  private async _remove (keys: readonly RowKey[]): Promise<void> {
    const { access, clock, log } = this._options
    const removes = keys.slice(0, ROWS_PER_TRANSACTION).map(({ table, part, key }) => ({ table, part, key }))
    try {
      await access.commitRepeatable({ removes }, clock.now() + WRITE_TIMEOUT_MS)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('suspects-not-removed', { rows: removes.length, cause: err.message })
    }
  }
}

function getAll ({ request, input }: SuspectDigests): string[] {
  return input === undefined ? [request] : [request, input]
}
