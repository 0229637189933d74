import { setTimeout as sleep } from 'node:timers/promises'
import { FULL_MS, getDelayWaitMs, type AdmittedRequest } from '../../core/admission/index.js'
import type { Clock } from '../../core/clock/index.js'
import { decideRetry, getHeldTokens, getResponseLimitMs, type ResponseHead, type RetryDecision } from '../../core/forward/index.js'
import type { RefusalReason, RetryReason } from '../../core/reason/index.js'
import { getMaxPermitWaitMs, getRetrySeconds, type RetryBudget } from '../../core/limits/index.js'
import type { BegunStream } from '../../core/origin/index.js'
import { getCallerWaitMs, isRepeatable, RouteKind } from '../../core/route/index.js'
import { getAllDigests, type SentRun, type Trial } from '../../core/suspect/index.js'
import type { Placement, TargetState } from '../../core/target/index.js'
import type { DecisionLog } from '../process/index.js'
import type { AdmissionEntry, AdmissionGate } from './AdmissionGate.js'
import { AttemptAbort } from './AttemptAbort.js'
import type { Exchange } from './Exchange.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import type { LeavingNotices } from './LeavingNotices.js'
import type { LimitedPlacer, LimitedPlacement } from './LimitedPlacer.js'
import type { Placer } from './Placer.js'
import type { TargetResponse } from './ResponseHandler.js'
import { StreamHandover } from './StreamHandover.js'
import type { SuspectSender, SuspectStore } from './SuspectStore.js'
import type { TargetFailures } from './TargetFailures.js'
import type { TargetLimits } from './TargetLimits.js'
import type { TargetPriorities } from './TargetPriorities.js'
import { TargetError, type TargetClient } from './TargetClient.js'

/** Seconds after which a refused caller may retry when no target ran the request because targets were missing or full. */
const RETRY_AFTER_SECONDS = 0.3

/** Lowest status by which a target states that it has not done what was asked. */
const FIRST_ERROR_STATUS = 400

/** Lowest status by which a target states that it has failed. */
const FIRST_FAILURE_STATUS = 500

/**
 * Milliseconds for which a request may wait for its connection, also while the process stands still.
 *
 * Less than the 500 by which the time that it states may be too long. Later, its target is chosen again: it may have left or be full.
 */
const MAX_SEND_DELAY_MS = 400

/** Milliseconds for which a request waits at least after as many full targets as may be asked one after the other have refused it. */
const MIN_WAIT_MS = 2 * FULL_MS

/** Longest time in milliseconds for which a further attempt waits for the retry budget; most responses come sooner. */
const MAX_RETRY_WAIT_MS = 500

/** Share of its remaining time for which a further attempt waits for the retry budget at most. */
const RETRY_WAIT_SHARE = 0.25

/** Dependencies that the attempts of all requests share. */
export interface AttemptContext {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
  readonly placer: Placer
  readonly limitedPlacer: LimitedPlacer
  readonly limits: TargetLimits
  readonly leaving: LeavingNotices
  readonly failures: TargetFailures
  /** Limits the requests that are sent to a second target while the first has not responded. */
  readonly secondAttempts: RetryBudget
  /** Gets a random number in [0, 1), by which the returns of refused callers are spread. */
  readonly random: () => number
  /** Lets requests wait while targets refuse them; undefined where none waits. */
  readonly admission?: AdmissionGate | undefined
  /** Determines the urgency that requests state at their targets; undefined where they state none. */
  readonly priorities?: TargetPriorities | undefined
  readonly client: TargetClient
  readonly suspects: SuspectStore
}

/** Reason for which a target's response could not be relayed. */
export interface ResponseFailure {
  readonly cause: string
  /** True when the connection to the target was lost, so that the target may have crashed. */
  readonly isConnectionLost: boolean
  /** True when no other target can complete the response either. */
  readonly isFinal?: boolean
}

/** The response of one attempt with the target that sends it. */
export interface Attempt {
  readonly state: TargetState
  readonly response: TargetResponse
  /** Time at which the request was sent, by the steady clock. */
  readonly sentAt: number
  /** True if the target had sent nothing for some time when the request was sent. */
  readonly wasSilent: boolean
  /** Records that bytes of the response have arrived. */
  readonly recordReceived: () => void
  /** Records that the first chunk of the response has arrived; further calls do nothing. */
  readonly recordFirstChunk: () => void
  /** Records that the attempt is over. */
  readonly finish: () => void
}

/** What is known of a request that was sent to a target. */
type Run = Pick<Attempt, 'state' | 'sentAt' | 'wasSilent'>

/** How a request is sent. */
interface SendOptions {
  /** Aborted when the response is no longer needed. */
  readonly cancelled?: AbortSignal
  /** True if the response of another target is still expected. */
  readonly isOther?: boolean
}

/** What the next attempt sends. */
export interface AttemptRequest {
  readonly body: Buffer | undefined
  /** Id of the event after which a stream continues. */
  readonly lastEventId?: string | undefined
  /** The stream to be continued; undefined for a new one. */
  readonly stream?: BegunStream | undefined
}

/** Options of {@link Attempts}. */
export interface AttemptsOptions {
  /** Key of the target incarnation that ran the program's earlier turns. */
  readonly warmTarget?: string | undefined
  /** True if the request belongs to a program that targets have already worked for. */
  readonly isInProgress?: boolean
  /** Waits while it is not certain which targets may send the events of a stream. */
  readonly awaitTargets?: (stream: BegunStream | undefined) => Promise<unknown>
  /** Confirms the list of targets before a stream goes on; resolves with whether it may be used. */
  readonly confirmTargets?: () => Promise<boolean>
}

/** Sends one request to targets, one after the other, until one responds or no further attempt is allowed. */
export class Attempts {
  private readonly _context: AttemptContext
  private readonly _exchange: Exchange
  private readonly _excluded = new Set<string>()
  /** Addresses that have received the request; several targets may be listed at one address. */
  private readonly _addresses = new Set<string>()
  private readonly _options: AttemptsOptions
  /** Targets whose attempt was cancelled because the stream went on elsewhere: they may have begun to run it, and may be asked again. */
  private readonly _cancelled = new Set<string>()
  private _dispatches = 0
  /** Dispatches of {@link askOther} that did not run; they leave as many for a failure of the present target. */
  private _notRunAsks = 0
  private _runs = 0
  /** Refusals of targets that were full. */
  private _fullRefusals = 0
  /** Time before which the request is not sent, because as many targets have refused it as may be asked one after the other. */
  private _notBefore = -Infinity
  /** Service of the latest attempt that may have run, until a further one uses up a retry for it. */
  private _failedService: string | undefined
  /** Milliseconds for which the next attempt waits for the retry budget. */
  private _retryWaitMs = 0
  /** The request while it waits for a target to accept it; undefined before its first attempt and once one has accepted it. */
  private _entry: AdmissionEntry | undefined
  /** Admission of the next attempt; undefined before it was asked for. */
  private _admission: AdmittedRequest | undefined
  /** Set when the request has crashed several targets and this gateway may try it. */
  private _trial: Trial | undefined
  /** Attempts that may have run before the trial began. */
  private _runsBeforeTrial = 0
  /** True if the request needed a trial when it was checked, and none could begin. */
  private _isUntried = false

  constructor (context: AttemptContext, exchange: Exchange, options: AttemptsOptions = {}) {
    this._context = context
    this._exchange = exchange
    this._options = options
  }

  /** Gets the response of the next attempt; undefined when the request was refused or its caller has disconnected. */
  async next ({ body, lastEventId, stream }: AttemptRequest): Promise<Attempt | undefined> {
    const { callerDisconnected } = this._exchange
    for (;;) {
      if (callerDisconnected.aborted) return undefined
      const refusedMs = await this._admit()
      if (refusedMs > 0) {
        if (this._runs > 0) this._refuse('attempts-failed')
        else this._refuse('crashes-targets', Math.max(RETRY_AFTER_SECONDS, refusedMs / 1_000))
        return undefined
      }
      await this._options.awaitTargets?.(stream)
      if (this._retryWaitMs > 0) await sleep(this._retryWaitMs)
      this._retryWaitMs = 0
      const isAdmitted = await this._awaitAdmission(stream)
      if (callerDisconnected.aborted || !isAdmitted) return undefined
      if (!await this._confirmTargets(stream)) {
        this._returnAdmission()
        this._refuse(this._runs > 0 ? 'attempts-failed' : 'origin-unreadable')
        return undefined
      }
      const placed = this._checkDelay(await this._place(stream, this._runs))
      if (callerDisconnected.aborted) return undefined
      if (placed.type !== 'placed') {
        this._returnAdmission()
        this._refuseUnplaced(placed, stream)
        return undefined
      }
      // The key may have been removed while the request waited for its target. One that may have run goes on.
      const refusal = this._runs === 0 && this._cancelled.size === 0 ? await this._exchange.checkKey() : undefined
      if (refusal !== undefined) {
        this._exchange.refuse(refusal)
        return undefined
      }
      if (this._isSuspectNow()) {
        this._returnAdmission()
        continue
      }
      if (this._trial !== undefined) await this._context.suspects.recordTrialRun(this._trial, placed.placement.state.incarnation)
      const attempt = await this._sendUntilDue(placed.placement, { body, lastEventId, stream })
      if (attempt !== undefined) return attempt
      if (!this._canRetry()) return undefined
    }
  }

  /**
   * Gets the response of another target while the one of the latest attempt is still expected; undefined when none may or does continue.
   *
   * The request is never refused for it.
   */
  async askOther ({ body, lastEventId, stream }: AttemptRequest, cancelled: AbortSignal): Promise<Attempt | undefined> {
    // The latest attempt counts as a run: its target may have generated all that the caller has received.
    const runs = this._runs + 1
    if (this._decideRetry(runs).type !== 'retry' || this._needsTrial()) return undefined
    if (!await this._confirmTargets(stream)) return undefined
    const placed = await this._place(stream, runs)
    if (cancelled.aborted || this._exchange.callerDisconnected.aborted || placed.type !== 'placed') return undefined
    return await this._send(placed.placement, { body, lastEventId }, { cancelled, isOther: true })
  }

  /** Discards the response of a target that was asked but does not continue the stream. */
  dropOther (other: Attempt, cause: string, cancelled: AbortSignal): void {
    other.response.discard()
    other.finish()
    this._recordAbandoned(other, cause)
    if (cancelled.aborted) this._recordCancelled(other.state, true)
    else this._recordRun(other.state, cause)
  }

  /** Records that a stream has moved from the target of an attempt to another one, because of its silence or a failure after it. */
  recordMove (from: Attempt, to: Attempt, silentMs: number, failure: ResponseFailure | undefined): void {
    const { log, metrics } = this._context
    const cause = failure?.cause ?? `no event for ${Math.round(silentMs)} ms`
    this._recordRun(from.state, cause)
    if (failure?.isConnectionLost === true) this._recordSuspect(from)
    else this._recordAbandoned(from, cause)
    metrics.streamSilences.inc({ outcome: 'moved' })
    log.info('stream-moved', { req: this._exchange.call.id, from: from.state.incarnation, target: to.state.incarnation, silentMs: Math.round(silentMs) })
  }

  /** Records that a stream went on by itself while another target was asked to continue it. */
  recordGoingOn (attempt: Attempt, silentMs: number): void {
    const { log, metrics } = this._context
    metrics.streamSilences.inc({ outcome: 'went-on' })
    log.info('stream-went-on', { req: this._exchange.call.id, target: attempt.state.incarnation, silentMs: Math.round(silentMs) })
  }

  /** Records that a target has answered the request completely, so that it crashes none; a failure may be the last that a target sends. */
  recordAnswer (attempt: Attempt): void {
    const { suspect, call } = this._exchange
    const { status } = attempt.response.head
    // A target rejects an invalid request without its work.
    if (status < FIRST_ERROR_STATUS) this._context.admission?.recordWork(this._exchange, this._context.clock.now() - attempt.sentAt)
    if (status >= FIRST_FAILURE_STATUS) this._recordAbandoned(attempt, `status ${status}`)
    else if (suspect !== undefined) void this._context.suspects.clear(suspect.digests, call.id)
  }

  /** Records that the request is over. */
  close (): void {
    if (this._trial !== undefined) void this._context.suspects.endTrial(this._trial)
  }

  /** Records that the latest response could not be relayed; returns whether another target may be tried, and refuses the request if not. */
  handleFailure (attempt: Attempt, failure: ResponseFailure): boolean {
    const isAbortedLocally = this._exchange.callerDisconnected.aborted || this._exchange.getRemainingMs() <= 0
    this._recordRun(attempt.state, failure.cause, !isAbortedLocally)
    if (failure.isConnectionLost && !isAbortedLocally) this._recordSuspect(attempt)
    else this._recordAbandoned(attempt, failure.cause)
    if (this._exchange.callerDisconnected.aborted) return false
    if (failure.isFinal !== true) return this._canRetry()
    this._refuse('attempts-failed')
    return false
  }

  /** Confirms the list of targets for a stream that goes on; returns whether its targets may be chosen by it. */
  private async _confirmTargets (stream: BegunStream | undefined): Promise<boolean> {
    if (stream === undefined || !this._exchange.route.isResumable) return true
    return await this._options.confirmTargets?.() ?? true
  }

  /** Chooses the next target, where `runs` targets may have run the request without being cancelled. */
  private async _place (stream: BegunStream | undefined, runs: number): Promise<LimitedPlacement> {
    const { call, route } = this._exchange
    const isInProgress = this._options.isInProgress ?? false
    const excluded = this._getExcluded(stream, runs)
    const avoided = this._getAvoided(stream, excluded)
    const place = async (excluded: ReadonlySet<string>): Promise<LimitedPlacement> => await this._context.limitedPlacer.place({
      call,
      route,
      excluded,
      warmTarget: this._options.warmTarget,
      stream,
      maxWaitMs: getMaxPermitWait(this._exchange, isInProgress),
      isInProgress: hasEarlierWork(this._exchange, isInProgress)
    })
    const placed = avoided.length === 0 ? undefined : await place(new Set([...excluded, ...avoided]))
    return placed?.type === 'placed' ? placed : await place(excluded)
  }

  /** Gets the targets that are not chosen if another one may be: those that are full, or all but the one with a place for the request. */
  private _getAvoided (stream: BegunStream | undefined, excluded: ReadonlySet<string>): string[] {
    const { placer, admission: gate } = this._context
    if (gate === undefined) return []
    const candidates = placer.getCandidates(this._exchange.call, this._exchange.route, stream, excluded)
    const keys = candidates.map(state => state.incarnation)
    const free = this._admission?.target
    if (free !== undefined && keys.includes(free)) return keys.filter(key => key !== free)
    return gate.getFull(candidates[0]?.target.service ?? '', keys)
  }

  /** Waits until the request may be sent; returns false if it was refused or its caller has disconnected. */
  private async _awaitAdmission (stream: BegunStream | undefined): Promise<boolean> {
    const { admission: gate, placer } = this._context
    const { call, route } = this._exchange
    if (gate === undefined) return true
    const getStates = (): TargetState[] => placer.getCandidates(call, route, stream, this._getExcluded(stream, this._runs))
    const service = getStates()[0]?.target.service
    if (service === undefined) return true
    const isInProgress = this._options.isInProgress ?? false
    this._entry ??= gate.open({
      exchange: this._exchange,
      service,
      isInProgress: hasEarlierWork(this._exchange, isInProgress),
      maxWaitMs: getMaxPermitWait(this._exchange, isInProgress)
    })
    const result = await gate.enter(this._entry, () => getStates().map(state => state.incarnation), this._notBefore)
    if (result.type === 'admitted') this._admission = result.admission
    else if (result.type === 'refused') this._refuse(this._runs > 0 ? 'attempts-failed' : 'overloaded', this._getReturnSeconds(result.waitMs))
    return result.type === 'admitted'
  }

  /** Returns the admission of an attempt for which there is no target. */
  private _returnAdmission (): void {
    const { admission: gate } = this._context
    if (this._entry !== undefined && this._admission !== undefined) gate?.recordUnknown(this._entry.service, this._admission)
    this._admission = undefined
  }

  /** Refuses a placement of a new program that the caller would not wait for, by the measured delay of the best target. */
  private _checkDelay (placed: LimitedPlacement): LimitedPlacement {
    const { admission, clock } = this._context
    if (placed.type !== 'placed' || admission === undefined) return placed
    const { route } = this._exchange
    const { state, predictedMs } = placed.placement
    const responseMs = route.kind === RouteKind.Streaming ? getCallerWaitMs(route) : Infinity
    const waitMs = getDelayWaitMs({
      isInProgress: hasEarlierWork(this._exchange, this._options.isInProgress ?? false),
      predictedMs,
      excessMs: state.getExcessMs(clock.now()),
      objectiveMs: route.objectiveMs,
      remainingMs: Math.min(this._exchange.getRemainingMs(), responseMs)
    })
    return waitMs === undefined ? placed : { type: 'overloaded', waitMs }
  }

  /** Gets the targets that may not be chosen: those tried before, and all that are new to the request when its attempts are used up. */
  private _getExcluded (stream: BegunStream | undefined, runs: number): ReadonlySet<string> {
    const { call, route } = this._exchange
    if (this._cancelled.size === 0 || runs + this._cancelled.size < route.maxAttempts) return this._excluded
    const listed = this._context.placer.getListed(call, route, stream).map(state => state.incarnation)
    return new Set([...this._excluded, ...listed.filter(incarnation => !this._cancelled.has(incarnation))])
  }

  /** Sends a request; one that may be repeated is also sent to a second target if the first has not responded when it should have. */
  private async _sendUntilDue (placement: Placement, req: AttemptRequest): Promise<Attempt | undefined> {
    const { route } = this._exchange
    const { secondAttempts, metrics, log } = this._context
    if (route.kind !== RouteKind.Idempotent || route.maxAttempts < 2) return await this._send(placement, req)
    secondAttempts.recordAttempt()
    const first = new AbortController()
    let hasAsked = false
    const handover = new StreamHandover({
      limitMs: getResponseLimitMs(route.objectiveMs, this._exchange.getRemainingMs()),
      askOther: async signal => {
        if (!hasAsked && (!this._mayAskSecond(placement.state) || !secondAttempts.tryConsume())) return undefined
        hasAsked = true
        return await this.askOther(req, signal)
      },
      dropOther: (other, cancelled) => { this.dropOther(other, 'the first target has responded', cancelled) },
      endCurrent: () => { first.abort() },
      onError: err => { log.warn('second-attempt-failed', { req: this._exchange.call.id, cause: String(err) }) }
    })
    handover.start()
    try {
      const attempt = await this._send(placement, req, { cancelled: first.signal })
      if (attempt === undefined && !first.signal.aborted) await handover.settle()
      const successor = handover.getSuccessor()
      if (successor !== undefined && attempt !== undefined) this.dropOther(attempt, 'a second target has responded', first.signal)
      const result = successor ?? attempt
      if (hasAsked) metrics.secondAttempts.inc({ outcome: successor !== undefined ? 'second' : attempt !== undefined ? 'first' : 'none' })
      return result
    } finally {
      handover.stop()
    }
  }

  private async _send (
    placement: Placement, { body, lastEventId }: AttemptRequest, { cancelled, isOther = false }: SendOptions = {}
  ): Promise<Attempt | undefined> {
    const { clock, log, client, metrics } = this._context
    const { call, route, configVersion } = this._exchange
    const { state } = placement
    const sentAt = clock.now()
    const run: Run = { state, sentAt, wasSilent: state.isSilent(sentAt) }
    const timeoutMs = this._exchange.getRemainingMs()
    const gate = this._context.admission
    const { service } = state.target
    const admission = this._admission ?? gate?.admit(service)
    const waitedMs = this._entry === undefined ? 0 : Math.round(sentAt - this._entry.since)
    this._admission = undefined
    const priority = this._getPriority(placement)
    this._dispatches++
    this._excluded.add(state.incarnation)
    this._cancelled.delete(state.incarnation)
    const isRepeated = this._addresses.has(state.target.address)
    this._addresses.add(state.target.address)
    log.info('dispatched', {
      req: call.id,
      route: route.name,
      config: configVersion,
      target: state.incarnation,
      version: state.target.softwareVersion,
      resumes: call.resumedStream,
      lastEventId,
      send: this._dispatches,
      program: call.program?.id,
      previousTurn: call.previousTurn,
      crashes: this._getCrashes(),
      workspace: this._exchange.workspace?.name,
      budget: call.program?.tokenBudget,
      maxOutputTokens: call.maxOutputTokens,
      promptTokens: call.promptTokens,
      ...placement.inputs,
      limitPerSecond: state.limit.getPerSecond(),
      slowdown: Number(state.pace.getSlowdown(sentAt).toFixed(1)),
      priority,
      waitedMs: waitedMs > 0 ? waitedMs : undefined,
      timeoutMs: Math.round(timeoutMs)
    })
    const cached = state.prefixCache.getCachedTokens(call.promptSegments)
    if (state.limit.getPerSecond() !== undefined) metrics.limitedSends.inc()
    metrics.recordPrompt(cached, Math.max(0, call.promptTokens - cached))
    state.prefixCache.add(call.promptSegments)
    // A request that may not be repeated runs to completion when its caller disconnects, because a half-made change can't be retried.
    const isDetached = route.kind === RouteKind.NonIdempotent
    const abort = new AttemptAbort({ timeoutMs, callerDisconnected: isDetached ? undefined : this._exchange.callerDisconnected, cancelled })
    const { signal } = abort
    const isCurrent = (): boolean => clock.now() - sentAt <= MAX_SEND_DELAY_MS
    const progress = this._track(placement, sentAt, abort)
    try {
      const workspace = this._exchange.workspace?.name
      const dispatch = { target: state.target, timeoutMs, lastEventId, workspace, ...(priority !== undefined && { priority }) }
      const response = await client.send({ call, body, signal, isCurrent, isRepeated, dispatch })
      const recordReceived = (): void => { state.recordHeard(clock.now(), response.connection) }
      // Another target may have the address.
      if (!response.head.isMisdirected) recordReceived()
      this._context.leaving.recordResponse(state, response.head, call.id)
      // Without its id, a response may be a late copy of an earlier one on the same connection.
      if (response.head.requestId !== call.id) {
        response.discard()
        progress.finish()
        const { requestId, status } = response.head
        const cause = `the response with status ${status} has ${requestId === undefined ? 'no request id' : `the id of request ${requestId}`}`
        this._recordRun(state, cause)
        this._recordAbandoned(run, cause)
        return undefined
      }
      this._context.limits.recordResponse(state, response.head, sentAt, call.id)
      if (!response.head.isMisdirected) this._context.suspects.recordResponse(state.incarnation, sentAt)
      if (response.head.isNotRun) {
        response.discard()
        progress.finish()
        if (admission !== undefined) this._recordFull(state, response.head, admission)
        this._recordNotRun(state, `status ${response.head.status}`, false, isOther)
        return undefined
      }
      if (admission !== undefined) gate?.recordAccepted(service, admission, state.incarnation)
      if (!isOther) this._entry = undefined
      const finish = (): void => {
        progress.finish()
        gate?.recordCompleted(service, state.incarnation)
      }
      return { ...run, response, recordReceived, ...progress, finish }
    } catch (err) {
      progress.finish()
      if (admission !== undefined) gate?.recordUnknown(service, admission)
      if (!(err instanceof TargetError)) throw err
      // What it has waited before an attempt that may have run does not count for the next one.
      if (!err.isNotRun && !isOther) this._entry = undefined
      if (!err.isNotRun && signal.aborted) {
        this._recordAbandoned(run, err.message)
        this._recordSilence(run)
      }
      if (cancelled?.aborted === true) this._recordCancelled(state, !err.isNotRun)
      else if (err.isNotRun) {
        if (!isRepeated) this._addresses.delete(state.target.address)
        if (!err.isUnreachable) this._excluded.delete(state.incarnation)
        this._recordNotRun(state, err.message, !signal.aborted && err.isUnreachable, isOther)
      } else {
        this._recordRun(state, err.message, !signal.aborted)
        if (!signal.aborted) this._recordSuspect(run)
      }
      return undefined
    }
  }

  /** Gets the urgency that the request states at its target; undefined if it states none. */
  private _getPriority ({ state, prefillMs }: Placement): number | undefined {
    const isInProgress = hasEarlierWork(this._exchange, this._options.isInProgress ?? false)
    return this._context.priorities?.get({ exchange: this._exchange, state, prefillMs, isInProgress })
  }

  /** Tracks a request in the target's state; it counts as prefill until its first chunk arrives. */
  private _track (placement: Placement, sentAt: number, abort: AttemptAbort): Pick<Attempt, 'recordFirstChunk' | 'finish'> {
    const { clock } = this._context
    const { state, prefillMs, predictedMs } = placement
    const heldTokens = getHeldTokens(this._exchange.call)
    state.recordStart(prefillMs, sentAt, heldTokens)
    let isPrefilling = true
    const endPrefill = (): boolean => {
      if (!isPrefilling) return false
      isPrefilling = false
      state.recordPrefillEnd(prefillMs)
      return true
    }
    return {
      recordFirstChunk: () => { if (endPrefill()) state.recordResponse(Math.max(0, clock.now() - sentAt - predictedMs), clock.now()) },
      finish: () => {
        abort.close()
        endPrefill()
        state.recordCompletion(clock.now(), heldTokens)
      }
    }
  }

  /** Records that a target did not run the request; one that was full may be asked again. */
  private _recordFull (state: TargetState, head: ResponseHead, admission: AdmittedRequest): void {
    const gate = this._context.admission
    const { service } = state.target
    // Others refuse because they leave, limit their rate or are another instance.
    const isLimited = head.requestsPerSecond !== undefined || state.limit.getPerSecond() !== undefined
    if (head.isMisdirected || head.isLeaving || isLimited) {
      gate?.recordUnknown(service, admission)
      return
    }
    state.recordFull(getHeldTokens(this._exchange.call), this._context.clock.now())
    gate?.recordRefused(service, admission, state.incarnation, this._fullRefusals > 0)
    this._fullRefusals++
    this._excluded.delete(state.incarnation)
  }

  /** Checks whether a second target may be asked: not where others wait for the place, nor beyond the retry budget. */
  private _mayAskSecond ({ target: { service } }: TargetState): boolean {
    const { admission: gate } = this._context
    return gate === undefined || (!gate.isShort(service) && gate.requestRetry(service, 0) !== undefined)
  }

  /** Gets the seconds after which a refused caller should return, by predicted capacity and the retry budget. */
  private _getReturnSeconds (waitMs: number): number {
    const { admission: gate, random } = this._context
    const { route } = this._exchange
    const service = this._entry?.service ?? route.backends[0]?.service
    const isInProgress = hasEarlierWork(this._exchange, this._options.isInProgress ?? false)
    const returnMs = gate === undefined || service === undefined ? waitMs : gate.scheduleReturn(service, waitMs, isInProgress)
    return getRetrySeconds(returnMs, random)
  }

  /**
   * Uses up a retry for an attempt after one that may have run; it is delayed beyond the budget, since a refusal would end its program.
   *
   * Turns of programs in progress are not delayed: a target that ends breaks off many streams at once, whose callers wait for events.
   */
  private _useRetry (): void {
    const { admission: gate } = this._context
    if (gate === undefined || this._failedService === undefined) return
    const waitMs = gate.requestRetry(this._failedService, MAX_RETRY_WAIT_MS) ?? MAX_RETRY_WAIT_MS
    const isTurn = this._exchange.route.kind === RouteKind.Streaming
    const isDelayed = !isTurn || !hasEarlierWork(this._exchange, this._options.isInProgress ?? false)
    this._retryWaitMs = isDelayed ? Math.min(waitMs, this._exchange.getRemainingMs() * RETRY_WAIT_SHARE) : 0
    this._failedService = undefined
  }

  private _recordNotRun (state: TargetState, cause: string, isUnreachable: boolean, isOther: boolean): void {
    if (isUnreachable) this._context.failures.recordFailure(state, true)
    if (isOther) {
      this._notRunAsks++
      // A full target may have room when it is asked again.
      if (!isUnreachable) this._excluded.delete(state.incarnation)
    }
    this._recordRetry(state, isUnreachable ? 'target-unreachable' : 'target-not-run', cause)
  }

  private _recordCancelled (state: TargetState, mayHaveRun: boolean): void {
    this._excluded.delete(state.incarnation)
    if (mayHaveRun) this._cancelled.add(state.incarnation)
    else this._notRunAsks++
    this._context.log.info('attempt-cancelled', { req: this._exchange.call.id, target: state.incarnation, send: this._dispatches, mayHaveRun })
  }

  private _recordRun (state: TargetState, cause: string, isFailure = true): void {
    this._runs++
    this._failedService = state.target.service
    if (isFailure) this._context.failures.recordFailure(state, false)
    this._recordRetry(state, 'answer-broken', cause)
  }

  /** Records that the connection to a target was lost while it ran the request; a request that crashes several is refused. */
  private _recordSuspect (run: Run): void {
    const { suspects } = this._context
    const sent = this._getSentRun(run)
    const { call, route } = this._exchange
    const targets = this._context.placer.getListed(call, route, undefined).length
    if (sent !== undefined) void suspects.record({ ...sent, others: run.state.getInFlight(), targets }, this._getSender())
  }

  /** Gets who sent the request, for logs. */
  private _getSender (): SuspectSender {
    const { call, suspect } = this._exchange
    return { req: call.id, content: suspect?.digests.content, address: suspect?.address, isShared: suspect?.contentUse.isShared }
  }

  /** Gets the number of targets that the request is known to have crashed; undefined if there are none. */
  private _getCrashes (): number | undefined {
    const { suspect } = this._exchange
    const crashes = suspect === undefined ? 0 : this._context.suspects.countCrashes(suspect.digests)
    return crashes === 0 ? undefined : crashes
  }

  /** Gets the run as evidence; undefined if the request can't be recognized again. */
  private _getSentRun ({ state, sentAt, wasSilent }: Run): SentRun | undefined {
    const { suspect } = this._exchange
    if (suspect === undefined) return undefined
    const { digests, contentUse } = suspect
    const shared = contentUse.isShared ? digests.content : undefined
    return { digests: getAllDigests(digests), shared, incarnation: state.incarnation, sentAt, wasSilent }
  }

  /** Records that this gateway has stopped waiting for a target that may still run the request. */
  private _recordAbandoned (run: Run, cause: string): void {
    const { clock, log, suspects } = this._context
    const { state, sentAt } = run
    const now = clock.now()
    const waitedMs = Math.round(now - sentAt)
    log.info('attempt-abandoned', { ...this._getSender(), target: state.incarnation, cause, waitedMs, heardMsAgo: state.getHeardMsAgo(now) })
    const sent = this._getSentRun(run)
    if (sent !== undefined) suspects.recordAbandoned(sent)
  }

  /** Records that the target has sent nothing at all since a request was sent that it should have responded to. */
  private _recordSilence ({ state, sentAt }: Run): void {
    const isDue = this._context.clock.now() - sentAt >= this._exchange.route.objectiveMs
    if (isDue && state.getHeardAt() < sentAt) this._context.failures.recordSilence(state)
  }

  /** Gets the milliseconds for which the request must not be run because it has crashed several targets; begins a trial if it needs one. */
  private async _admit (): Promise<number> {
    const { suspects } = this._context
    const { suspect, call } = this._exchange
    if (suspect === undefined) return 0
    if (this._trial !== undefined) return suspects.getRefusedMs(suspect.digests)
    const admission = await suspects.admit(suspect.digests, call.id)
    if (admission.type === 'refused') return admission.refusedMs
    this._trial = admission.trial
    this._runsBeforeTrial = this._runs
    this._isUntried = admission.trial === undefined && suspects.needsTrial(suspect.digests)
    return 0
  }

  /** Checks whether crashes of the request have become known while it waited to be sent, so that it has to be checked again. */
  private _isSuspectNow (): boolean {
    const { suspects } = this._context
    const { suspect } = this._exchange
    if (suspect === undefined || this._trial !== undefined) return false
    return suspects.getRefusedMs(suspect.digests) > 0 || (!this._isUntried && suspects.needsTrial(suspect.digests))
  }

  /** Checks whether only one target at a time may run the request. */
  private _needsTrial (): boolean {
    const { suspect } = this._exchange
    return this._trial !== undefined || (suspect !== undefined && this._context.suspects.needsTrial(suspect.digests))
  }

  private _recordRetry (state: TargetState, reason: RetryReason, cause: string): void {
    this._context.metrics.addRetry(reason)
    this._context.log.info('attempt-failed', { req: this._exchange.call.id, target: state.incarnation, send: this._dispatches, reason, cause })
  }

  /** Checks whether another target may be tried; refuses the request if not. */
  private _canRetry (): boolean {
    // A trial is one run: its outcome decides whether the request may run again, and may be known only seconds later.
    if (this._trial !== undefined && this._runs > this._runsBeforeTrial) {
      this._refuse('attempts-failed')
      return false
    }
    const decision = this._decideRetry(this._runs)
    if (decision.type === 'retry') {
      this._useRetry()
      return true
    }
    if (decision.reason === 'retries-exhausted' && this._fullRefusals > 0) {
      this._notRunAsks = this._dispatches
      this._notBefore = this._context.clock.now() + MIN_WAIT_MS
      return true
    }
    this._refuse(decision.reason)
    return false
  }

  private _decideRetry (runs: number): RetryDecision {
    const { route } = this._exchange
    return decideRetry({
      sends: this._dispatches - this._notRunAsks,
      runs,
      isRepeatable: isRepeatable(route),
      maxAttempts: route.maxAttempts,
      remainingMs: this._exchange.getRemainingMs()
    })
  }

  private _refuseUnplaced (placed: Exclude<LimitedPlacement, { type: 'placed' }>, stream: BegunStream | undefined): void {
    if (this._runs > 0) this._refuse('attempts-failed')
    else if (placed.type === 'limited') this._refuse('targets-limited', getRetrySeconds(placed.waitMs, this._context.random))
    else if (placed.type === 'overloaded') this._refuse('overloaded', this._getReturnSeconds(placed.waitMs))
    else if (this._dispatches > 0) this._refuse('retries-exhausted', this._getReturnSeconds(0))
    else if (this._isWithheld(stream)) this._refuse(stream === undefined ? 'no-target' : 'origin-unreadable')
    else if (stream !== undefined) this._refuse('version-gone', null)
    else this._refuse('no-target', this._getReturnSeconds(0))
  }

  private _isWithheld (stream: BegunStream | undefined): boolean {
    return this._context.placer.isWithheld(this._exchange.call, this._exchange.route, stream)
  }

  /** Refuses the request, or breaks its response off; without a time to retry if no later time helps. */
  private _refuse (reason: RefusalReason, retryAfterSeconds: number | null = RETRY_AFTER_SECONDS): void {
    if (this._exchange.hasStarted()) {
      this._exchange.abort(reason)
      return
    }
    const members = { sends: this._dispatches, runs: this._runs }
    this._exchange.refuse({ reason, members, retryAfterSeconds: this._runs > 0 ? undefined : retryAfterSeconds ?? undefined })
  }
}

/** Gets the longest time in milliseconds for which a request may wait for a permit of a target that limits its rate. */
export function getMaxPermitWait (exchange: Exchange, isInProgress: boolean): number {
  const { call, route } = exchange
  const programMs = call.program?.remainingMs ?? Infinity
  const responseMs = route.kind === RouteKind.Streaming ? getCallerWaitMs(route) : Infinity
  const remainingMs = Math.min(exchange.getRemainingMs(), programMs, responseMs)
  return getMaxPermitWaitMs({ isInProgress: hasEarlierWork(exchange, isInProgress), remainingMs })
}

/** Checks whether earlier work would be lost with a request: the call of a tool belongs to a turn that has run. */
function hasEarlierWork (exchange: Exchange, isInProgress: boolean): boolean {
  const { call, route } = exchange
  const isFirstTurn = route.kind === RouteKind.Streaming && call.program !== undefined && call.previousTurn === undefined
  return isInProgress || exchange.hasStarted() || !isFirstTurn
}
