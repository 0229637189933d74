import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { ROWS_PER_TRANSACTION, StoreError, StoreTime, type RowChange, type RowKey, type StoredRow } from '../../core/platform/index.js'
import {
  ABANDONED_GRACE_MS, AnsweredRequests, CRASH_WINDOW_MS, CrashEvidence, decodeTrialKey, getAllDigests, getSuspectKey, getSuspectTime,
  mayHaveEnded, OPENING_ANSWERED_MS, SUSPECT_RETENTION_MS, SuspectList, toSuspectRow, type AbandonedRun, type CrashRecord,
  type GetHeardAt, type LostRequest, type SentRun, type SuspectDigests, type Trial, type TrialRun
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

/**
 * Number of target incarnations that a request has crashed, or may have, at which only one of its copies is run at a time.
 *
 * One less than the crashes at which it is refused: these are known only seconds after the runs, in which further copies would run.
 */
const TRIAL_AFTER_INCARNATIONS = 2

/** Milliseconds for which a run that nobody awaits may have crashed its target: 3 s until its row expires, and the delay of the watch. */
const UNJUDGED_MS = 5_000

/** Maximum number of earlier runs that the row of a trial states. */
const MAX_PENDING_RUNS = 8

/** Milliseconds between two looks for the end of a target that another gateway tries. */
const JUDGE_POLL_MS = 500

/**
 * Milliseconds after the end of such a target within which its gateway counts the crash, and up to which this one waits longer.
 *
 * The wait differs between gateways, so that one of them asks the target and writes, and the others see its row.
 */
const JUDGE_AFTER_MS = 1_000
const JUDGE_SPREAD_MS = 1_000

/** Milliseconds for which the runs of another gateway's trial are judged. */
const JUDGE_MS = 15_000

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

/** Who sent a request, for logs. */
export interface SuspectSender {
  readonly req: string
  /** Digest of path and body. */
  readonly content?: string | undefined
  /** Address of the caller's connection. */
  readonly address?: string | undefined
  /** True if another request with the same input is in progress. */
  readonly isShared?: boolean | undefined
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
  private readonly _answered = new AnsweredRequests()
  private readonly _answeredOpenings = new AnsweredRequests({ retentionMs: OPENING_ANSWERED_MS })
  private readonly _list = new SuspectList()
  private readonly _expiring: ExpiringRows
  private readonly _storeTime = new StoreTime()
  private readonly _trials: TrialStore
  private readonly _ended = new Map<string, EndedTarget>()
  /** Trials of other gateways whose runs are judged here, by row key and holder. */
  private readonly _judged = new Set<string>()
  private readonly _judgeAfterMs = JUDGE_AFTER_MS + JUDGE_SPREAD_MS * Math.random()

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
    return Math.max(...this._getCounted(digests).map(digest => this._list.getRefusedMs(digest, now)))
  }

  /** Gets the number of targets that a request is known to have crashed. */
  countCrashes (digests: SuspectDigests): number {
    const now = this._options.clock.now()
    return Math.max(...this._getCounted(digests).map(digest => this._list.getIncarnations(digest, now).length))
  }

  /** Checks whether a request has crashed so many targets, or may have, that only one of its copies may be run at a time. */
  needsTrial (digests: SuspectDigests): boolean {
    return this._getTried(digests).length > 0
  }

  /**
   * Decides whether a request may be run; one that has crashed several targets, or may have, needs a trial, which {@link endTrial} ends.
   *
   * While it is tried elsewhere it waits for the outcome for a short time.
   */
  async admit (digests: SuspectDigests, requestId: string): Promise<Admission> {
    for (let waitedMs = 0; ; waitedMs += TRIAL_POLL_MS) {
      const now = this._options.clock.now()
      const tried = this._getTried(digests)
      if (tried.length === 0) return { type: 'admitted' }
      const isConfirmed = tried.some(digest => this._list.isConfirmed(digest, now))
      // While the store can't decide who tries it, a request that is not refused is run as any other.
      if (!isConfirmed && this._options.access.health.isUnavailable()) return { type: 'admitted' }
      const refusedMs = this.getRefusedMs(digests)
      if (refusedMs > 0) return { type: 'refused', refusedMs }
      const trial = await this._trials.begin(tried, requestId, this._getPending(tried))
      if (trial !== undefined) return { type: 'admitted', trial }
      const isBegun = this._trials.isBegun(tried)
      if (!isConfirmed && !isBegun) return { type: 'admitted' }
      const isWaiting = waitedMs < TRIAL_WAIT_MS && isBegun
      if (!isWaiting) return { type: 'refused', refusedMs: TRIAL_RETRY_MS }
      await sleep(TRIAL_POLL_MS)
    }
  }

  /** Records to which target a request that is tried is sent next. */
  async recordTrialRun (trial: Trial, incarnation: string): Promise<void> {
    await this._trials.recordRun(trial, incarnation)
  }

  /** Ends the trial of a request that is over, as soon as it is known whether a target that has run it goes on. */
  async endTrial (trial: Trial): Promise<void> {
    const { clock } = this._options
    const isConfirmed = trial.digests.some(digest => this._list.isConfirmed(digest, clock.now()))
    const deadline = clock.now() + (isConfirmed ? OUTCOME_TIMEOUT_MS : UNJUDGED_MS)
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
    this._evidence.addAbandoned({ ...run, digests: this._getUnanswered(run), abandonedAt: this._options.clock.now() })
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
  async record (lost: LostRequest, sender: SuspectSender): Promise<void> {
    const { clock, log } = this._options
    const { incarnation, others } = lost
    const digests = this._getUnanswered(lost)
    const now = clock.now()
    this._evidence.add({ ...lost, digests }, now)
    log.info('connection-lost', { ...sender, digests, lifetime: incarnation, others })
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
    const now = this._options.clock.now()
    if (digests.opening !== undefined) this._answeredOpenings.record(digests.opening, now)
    for (const digest of getAllDigests(digests)) {
      this._answered.record(digest, now)
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

  /** Gets the digests under which a request may be run only by one gateway at a time. */
  private _getTried (digests: SuspectDigests): string[] {
    const now = this._options.clock.now()
    return this._getCounted(digests).filter(digest => this._list.isConfirmed(digest, now) || this._isSuspected(digest, now))
  }

  /** Checks whether a request that is not refused may have crashed several targets; not one that targets answer. */
  private _isSuspected (digest: string, now: number): boolean {
    if (this._isAnswered(digest, now)) return false
    if ((this._trials.getOther(digest)?.runs.length ?? 0) > 0 && this._trials.isBegun([digest])) return true
    const unjudged = this._getUnjudged(digest).map(({ incarnation }) => incarnation)
    const uncounted = this._evidence.getUncounted(digest)
    return new Set([...this._list.getIncarnations(digest, now), ...unjudged, ...uncounted]).size >= TRIAL_AFTER_INCARNATIONS
  }

  /** Gets the digests of a run under which no target has answered lately. */
  private _getUnanswered ({ digests }: SentRun): readonly string[] {
    const now = this._options.clock.now()
    return digests.filter(digest => !this._isAnswered(digest, now))
  }

  /** Gets the digests under which crashes count: not the beginning of a body if a target has answered one that begins so. */
  private _getCounted (digests: SuspectDigests): string[] {
    const now = this._options.clock.now()
    return getAllDigests(digests).filter(digest => !this._answeredOpenings.has(digest, now))
  }

  private _isAnswered (digest: string, now: number): boolean {
    return this._answered.has(digest, now) || this._answeredOpenings.has(digest, now)
  }

  /** Gets the runs of a request whose targets have sent nothing since, and may have ended. */
  private _getUnjudged (digest: string): AbandonedRun[] {
    const now = this._options.clock.now()
    return this._evidence.getAbandoned(digest).filter(run => {
      const state = this._options.findTarget(run.incarnation) ?? this._ended.get(run.incarnation)?.state
      const isSilent = state === undefined || now - state.getHeardAt() >= ABANDONED_GRACE_MS
      return isSilent && now - run.abandonedAt <= UNJUDGED_MS && mayHaveEnded(run, time => state?.getHeardOnOpenAt(time) ?? -Infinity)
    })
  }

  /** Gets the latest runs of requests whose outcome only this gateway would learn. */
  private _getPending (digests: readonly string[]): TrialRun[] {
    const now = this._options.clock.now()
    const runs = new Map(digests.flatMap(digest => this._getUnjudged(digest)).map(run => [run.incarnation, run]))
    return [...runs.values()].slice(-MAX_PENDING_RUNS).map(({ incarnation, sentAt, abandonedAt }) => ({
      incarnation, sentMsAgo: Math.round(now - sentAt), abandonedMsAgo: Math.round(now - abandonedAt)
    }))
  }

  /** Judges the runs of another gateway's trial while its row remains, in case that gateway has ended. */
  private async _judge (digest: string, holder: string, isFirstSeen: boolean): Promise<void> {
    const { clock, findTarget } = this._options
    const key = `${digest} ${holder}`
    if (this._judged.has(key)) return
    this._judged.add(key)
    const goneAt = new Map<string, number>()
    /** Targets whose end this gateway sees itself. */
    const listed = new Set<string>()
    for (;;) {
      await sleep(JUDGE_POLL_MS, undefined, { ref: false })
      const now = clock.now()
      const trial = this._trials.getOther(digest)
      if (trial?.holder !== holder || now - trial.startedAt >= JUDGE_MS) break
      for (const { incarnation, sentMsAgo, abandonedMsAgo } of trial.runs) {
        if (findTarget(incarnation) !== undefined) {
          goneAt.delete(incarnation)
          listed.add(incarnation)
        } else if (!goneAt.has(incarnation)) goneAt.set(incarnation, now)
        else if (now - goneAt.get(incarnation)! >= this._judgeAfterMs && !this._list.has(digest, incarnation)) {
          // Judged once.
          goneAt.set(incarnation, Infinity)
          const times = { sentAt: trial.startedAt - sentMsAgo, abandonedAt: trial.startedAt - abandonedMsAgo }
          await this._inferOther({ digests: [digest], incarnation, ...times }, isFirstSeen && !listed.has(incarnation))
        }
      }
    }
    this._judged.delete(key)
  }

  /**
   * Infers from the end of a target whether a run of another gateway may have crashed it.
   *
   * @param mayBeUnseen - True if the target may have ended before this gateway first read the list, which is then its only evidence.
   */
  private async _inferOther (run: AbandonedRun, mayBeUnseen: boolean): Promise<void> {
    const { clock, confirmTargets, findTarget, log } = this._options
    const { digests, incarnation } = run
    const ended = this._ended.get(incarnation)
    // A target that was leaving when its row was removed has not crashed.
    if (ended === undefined && !mayBeUnseen) return
    log.info('trial-judged', { digests, target: incarnation, isUnseen: ended === undefined })
    if (ended !== undefined) {
      this._evidence.addAbandoned(run)
      await this._infer(ended)
      return
    }
    if (await confirmTargets() === false || findTarget(incarnation) !== undefined) return
    this._evidence.addAbandoned(run)
    const crashes = this._evidence.infer(incarnation, () => -Infinity, clock.now())
    await Promise.all(crashes.map(async crash => { await this._share(crash) }))
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
      await access.commitRepeatable({ puts: [row], removes: this._trials.take(digest, incarnation) }, clock.now() + WRITE_TIMEOUT_MS)
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
    for (const row of rows) if (!expired.includes(row)) this._applyRow(row, true)
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

  private _applyRow (row: StoredRow, isFirstSeen = false): void {
    const { clock, log } = this._options
    if (this._trials.applyRow(row)) {
      const digest = decodeTrialKey(row)!
      const trial = this._trials.getOther(digest)
      if (trial !== undefined && trial.runs.length > 0) void this._judge(digest, trial.holder, isFirstSeen)
      return
    }
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
