import { Left, Right, type Either } from 'purify-ts'
import { AttemptState, RunOutcome, type Dispatch, type RunResult } from '../call/index.js'
import type { Clock } from '../clock/index.js'
import type { RefusalReason } from '../reason/index.js'
import type { TicketClaims } from '../ticket/index.js'
import { AdmissionQueue, LeastAttainedQueue } from './AdmissionQueue.js'
import { AttemptTable, type AttemptRecord } from './AttemptTable.js'
import { DROPPED_TERMINATION, parseAttemptId, toNotRunRecord, toQueuedRecord } from './attemptRecords.js'
import { ConfigFence } from './ConfigFence.js'
import { HoldTable, type EngineHolds } from './HoldTable.js'
import type { LoadSample } from './LoadSample.js'
import type { RunTermination } from './RunTermination.js'
import { TargetSpeed } from './TargetSpeed.js'

/** Side effect that the caller of {@link SidecarCore} must perform. */
export type SidecarEffect =
  /** Send the request to the target. */
  | { readonly type: 'start', readonly attempt: string }
  /** Abort the request at the target and end the response with the bytes received so far. */
  | { readonly type: 'abort', readonly attempt: string, readonly cause: AbortCause }
  /** The attempt has ended: notify the readers of its response. */
  | { readonly type: 'ended', readonly attempt: string }
  /** Discard the buffered response of an attempt. */
  | { readonly type: 'drop-answer', readonly attempt: string }
  /** Release the hold of a session at the engine. */
  | { readonly type: 'release-hold', readonly key: string }

/** Cause for which a run is aborted. */
export const AbortCause = { Budget: 'budget', Deadline: 'deadline', Memory: 'memory' } as const
export type AbortCause = typeof AbortCause[keyof typeof AbortCause]

/** Options of {@link SidecarCore}. */
export interface SidecarCoreOptions {
  /** Id of this incarnation of the sidecar; a restart creates a new one. */
  readonly incarnation: string
  readonly clock: Clock
  readonly slots: number
  readonly shortSlots?: number
  readonly maxQueued?: number
  /** Maximum number of finished responses that wait for acknowledgement. */
  readonly maxRetained?: number
  /** Maximum number of attempt records. */
  readonly maxRecords?: number
  readonly queue?: AdmissionQueue
}

/** Default maximum number of finished responses that wait for acknowledgement. */
export const DEFAULT_MAX_RETAINED = 2_000

/** Default maximum number of queued requests. */
export const DEFAULT_MAX_QUEUED = 256

/**
 * State machine of all attempts at one target: admission, deadlines, retained responses and holds.
 *
 * @remarks It performs no I/O; its methods update the state and return the side effects to perform.
 */
export class SidecarCore {
  private readonly _options: SidecarCoreOptions
  private readonly _clock: Clock
  private readonly _attempts: AttemptTable
  private readonly _queue: AdmissionQueue
  private readonly _holds = new HoldTable()
  private readonly _configFence = new ConfigFence()
  private readonly _abortCauses = new Map<string, AbortCause>()
  private _retainedCount = 0
  private _isLeaving = false
  private readonly _speed = new TargetSpeed()

  constructor (options: SidecarCoreOptions) {
    this._options = options
    this._clock = options.clock
    this._attempts = new AttemptTable(options.maxRecords)
    this._queue = options.queue ?? new LeastAttainedQueue({
      slots: options.slots,
      shortSlots: options.shortSlots ?? 0,
      maxQueued: options.maxQueued ?? DEFAULT_MAX_QUEUED
    })
  }

  /** Queues a dispatch, or refuses it; a refused attempt is recorded as not run, so that a late duplicate can't start it. */
  dispatch (claims: TicketClaims, dispatch: Dispatch): Either<RefusalReason, SidecarEffect[]> {
    const reason = this._findRefusal(claims, dispatch)
    if (reason !== undefined) {
      this._addNotRun(claims.attempt, claims.ledgerKey, claims.epoch, reason)
      return Left(reason)
    }
    const now = this._clock.now()
    const { claim } = dispatch
    const isQueued = this._queue.add({
      attempt: claim.attempt,
      workspace: dispatch.workspace,
      attainedTokens: dispatch.attainedTokens,
      maxTokens: claim.reservedTokens,
      queuedAt: now
    })
    if (!isQueued) {
      this._addNotRun(claim.attempt, dispatch.ledgerKey, claim.epoch, 'queue-full')
      return Left('queue-full')
    }
    this._attempts.add(toQueuedRecord(dispatch, now))
    return Right(this._startQueued())
  }

  /** Gets the state of an attempt; with `cancelIfAbsent`, an attempt that has not arrived yet is cancelled and can't start later. */
  locate (attempt: string, incarnation: string, claimedAt: number, cancelIfAbsent: boolean): AttemptState {
    if (incarnation !== this._options.incarnation) return AttemptState.OtherIncarnation
    const record = this._attempts.get(attempt)
    if (record !== undefined) return record.state
    if (this._attempts.mayHaveBeenEvicted(claimedAt)) return AttemptState.ResultLost
    if (cancelIfAbsent) {
      const { ledgerKey, epoch } = parseAttemptId(attempt)
      this._addNotRun(attempt, ledgerKey, epoch, 'cancelled')
    }
    return AttemptState.Absent
  }

  /** Gets the result of a finished attempt. */
  getResult (attempt: string): RunResult | undefined {
    return this._attempts.get(attempt)?.result
  }

  /** Discards the response of an attempt, which the entry has stored durably. */
  acknowledge (attempt: string): SidecarEffect[] {
    const record = this._attempts.get(attempt)
    if (record === undefined || record.state !== AttemptState.Done) return []
    this._attempts.dropResponse(record)
    this._retainedCount--
    return [{ type: 'drop-answer', attempt }]
  }

  /** Records tokens generated by a run, and aborts the run when it has used up its reservation. */
  addTokens (attempt: string, count: number): SidecarEffect[] {
    const record = this._attempts.getOrThrow(attempt)
    this._recordTokens(record, count)
    if (record.maxTokens > 0 && record.tokens >= record.maxTokens) return this._abort(record, AbortCause.Budget)
    return []
  }

  /** Gets the number of tokens that an attempt may still generate. */
  getRemainingTokens (attempt: string): number {
    const record = this._attempts.getOrThrow(attempt)
    return record.maxTokens - record.tokens
  }

  /** Aborts a run whose response exceeds the size limit. */
  abortForMemory (attempt: string): SidecarEffect[] {
    return this._abort(this._attempts.getOrThrow(attempt), AbortCause.Memory)
  }

  /** Records the termination of a run and starts queued requests in its place. */
  onRunEnded (attempt: string, termination: RunTermination): SidecarEffect[] {
    const record = this._attempts.getOrThrow(attempt)
    const now = this._clock.now()
    const outcome = this._toOutcome(record, termination)
    this._finish(record, outcome, termination, now)
    if (outcome === RunOutcome.Complete || outcome === RunOutcome.Truncated) this._speed.recordRun(now - record.startedAt)
    this._queue.release(attempt)
    return [{ type: 'ended', attempt }, ...this._endHoldUse(record.holdKey, now), ...this._startQueued()]
  }

  /** Releases the hold of a closed session unless a call still uses it. */
  release (holdKey: string): SidecarEffect[] {
    return this._holds.endLease(holdKey) ? [{ type: 'release-hold', key: holdKey }] : []
  }

  /** Releases holds reported by the engine that have no lease, and idle holds while memory is short. */
  reconcile (engine: EngineHolds): SidecarEffect[] {
    return this._holds.reconcile(engine, this._clock.now()).map(key => ({ type: 'release-hold', key }))
  }

  /** Enforces deadlines, retention periods and leases; must be called several times a second. */
  tick (): SidecarEffect[] {
    const now = this._clock.now()
    const overdue = this._attempts.getActive().filter(record => record.deadline <= now)
    const ended = overdue.flatMap(record => this._onOverdue(record, now))
    const expired = this._attempts.dropExpiredResponses(now)
    this._retainedCount -= expired.length
    this._attempts.evict(now)
    return [
      ...ended,
      ...expired.map(attempt => ({ type: 'drop-answer' as const, attempt })),
      ...this._holds.removeExpired(now).map(key => ({ type: 'release-hold' as const, key })),
      ...this._startQueued()
    ]
  }

  /** Starts draining: all new dispatches are refused. */
  setLeaving (): void {
    this._isLeaving = true
  }

  /** Checks that no attempt is queued, running or waiting for the acknowledgement of its response. */
  isDrained (): boolean {
    return this._queue.getQueuedCount() + this._queue.getRunningCount() + this._retainedCount === 0
  }

  /** Records a configuration version; returns true if it is higher than all previous ones. */
  recordConfigVersion (version: number): boolean {
    return this._configFence.recordVersion(version, this._clock.now())
  }

  /** Gets the load that entries use for placement. */
  getLoad (): LoadSample {
    return {
      incarnation: this._options.incarnation,
      isLeaving: this._isLeaving,
      configVersion: this._configFence.getVersion(),
      slots: this._options.slots,
      running: this._queue.getRunningCount(),
      queued: this._queue.getQueuedCount(),
      queuedTokens: this._queue.getQueuedTokens(),
      msPerToken: this._speed.getMsPerToken(this._clock.now()),
      runMs: this._speed.getRunMs()
    }
  }

  private _findRefusal (claims: TicketClaims, dispatch: Dispatch): RefusalReason | undefined {
    const now = this._clock.now()
    const { claim } = dispatch
    if (claims.attempt !== claim.attempt || claims.ledgerKey !== dispatch.ledgerKey || claims.epoch !== claim.epoch) return 'ticket-forged'
    if (claims.incarnation !== this._options.incarnation) return 'incarnation-changed'
    const existing = this._attempts.get(claim.attempt)
    if (existing !== undefined) return existing.state === AttemptState.NotRun ? existing.reason ?? 'cancelled' : 'ticket-replayed'
    if (this._attempts.isStale(dispatch.ledgerKey, claim.epoch)) return 'epoch-stale'
    if (this._attempts.mayHaveBeenEvicted(claim.claimedAt)) return 'ticket-expired'
    this._configFence.recordVersion(claims.configVersion, now)
    if (this._configFence.isStale(claims.configVersion, now)) return 'stale-config'
    if (this._isLeaving) return 'leaving'
    if (this._retainedCount >= (this._options.maxRetained ?? DEFAULT_MAX_RETAINED)) return 'retained-full'
    return undefined
  }

  private _addNotRun (attempt: string, ledgerKey: string, epoch: number, reason: RefusalReason): void {
    if (this._attempts.get(attempt) !== undefined) return
    this._attempts.add(toNotRunRecord(attempt, ledgerKey, epoch, reason, this._clock.now()))
  }

  private _startQueued (): SidecarEffect[] {
    const effects: SidecarEffect[] = []
    const now = this._clock.now()
    for (let next = this._queue.admitNext(now); next !== undefined; next = this._queue.admitNext(now)) {
      const record = this._attempts.getOrThrow(next.attempt)
      this._attempts.setState(record, AttemptState.Running)
      record.startedAt = now
      this._holds.addUse(record.holdKey)
      effects.push({ type: 'start', attempt: next.attempt })
    }
    return effects
  }

  private _abort (record: AttemptRecord, cause: AbortCause): SidecarEffect[] {
    if (record.state !== AttemptState.Running || this._abortCauses.has(record.attempt)) return []
    this._abortCauses.set(record.attempt, cause)
    return [{ type: 'abort', attempt: record.attempt, cause }]
  }

  private _onOverdue (record: AttemptRecord, now: number): SidecarEffect[] {
    if (record.state === AttemptState.Queued) return this._dropQueued(record, now)
    return this._abort(record, AbortCause.Deadline)
  }

  private _dropQueued (record: AttemptRecord, now: number): SidecarEffect[] {
    this._queue.remove(record.attempt)
    this._finish(record, RunOutcome.Dropped, DROPPED_TERMINATION, now)
    return [{ type: 'ended', attempt: record.attempt }]
  }

  private _finish (record: AttemptRecord, outcome: RunOutcome, termination: RunTermination, now: number): void {
    this._attempts.setState(record, AttemptState.Done)
    record.result = {
      outcome,
      answer: { ...termination.answer, tokens: record.tokens },
      cachedTokens: termination.cachedTokens,
      promptTokens: termination.promptTokens,
      queuedAt: record.queuedAt,
      startedAt: record.startedAt,
      firstByteAt: record.firstByteAt,
      endedAt: now
    }
    this._retainedCount++
  }

  private _toOutcome (record: AttemptRecord, termination: RunTermination): RunOutcome {
    const cause = this._abortCauses.get(record.attempt)
    this._abortCauses.delete(record.attempt)
    if (cause === AbortCause.Deadline && record.tokens === 0) return RunOutcome.TimedOut
    if (cause !== undefined) return RunOutcome.Truncated
    if (termination.type === 'unreached') return RunOutcome.Unreached
    return termination.type === 'complete' ? RunOutcome.Complete : RunOutcome.Crashed
  }

  private _recordTokens (record: AttemptRecord, count: number): void {
    const now = this._clock.now()
    if (record.firstByteAt === 0) record.firstByteAt = now
    else this._speed.recordTokens(now - record.lastTokenAt, count, now)
    record.lastTokenAt = now
    record.tokens += count
  }

  private _endHoldUse (holdKey: string, now: number): SidecarEffect[] {
    this._holds.removeUse(holdKey, now)
    if (!this._holds.isReleasePending(holdKey)) return []
    return this.release(holdKey)
  }
}
