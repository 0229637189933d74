import { setTimeout as sleep } from 'node:timers/promises'
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '../../core/clock/index.js'
import { getRetrySeconds } from '../../core/limits/index.js'
import { getOrigin, type BegunStream, type StreamOrigin } from '../../core/origin/index.js'
import type { Refusal, RefusalReason } from '../../core/reason/index.js'
import { getCallerWaitMs, isRepeatable } from '../../core/route/index.js'
import type { Target } from '../../core/target/index.js'
import {
  EventSplitter, getContinuationFailure, isNextEvent, isProgress, lacksEarlierEvents, MAX_EVENT_BYTES, MAX_TURN_BYTES, shouldRunTurn,
  StreamLimit, StreamRate, Transcript, type ContinuedStream, type StreamEvent
} from '../../core/turn/index.js'
import { Attempts, getMaxPermitWait, type ResponseFailure, type Attempt, type AttemptContext, type AttemptRequest } from './Attempts.js'
import { awaitFirstEvent } from './awaitFirstEvent.js'
import type { BudgetStore, Reservation } from './BudgetStore.js'
import type { Exchange } from './Exchange.js'
import type { ListConfirmation } from './ListConfirmation.js'
import type { OriginStore } from './OriginStore.js'
import { getHeadFailure, relayBody } from './PlainForwarder.js'
import { StreamHandover } from './StreamHandover.js'
import type { TurnStore } from './TurnStore.js'
import type { VersionGate } from './VersionGate.js'
import type { VersionStore } from './VersionStore.js'

/** Milliseconds before the caller's maximum wait is over at which saving a turn is abandoned. */
const SAVE_MARGIN_MS = 150

/** Milliseconds for which a turn waits for its budget and for the transcript of its earlier turns. */
const PREPARE_TIMEOUT_MS = 1_000

/**
 * Share of the callers' maximum wait for an event after which another target is asked to continue a stream that may be resumed.
 *
 * The rest of the time is for that target's first event. The longest gap of a stream that is on time is at most a quarter of this share.
 */
const SILENCE_SHARE = 0.5

/** Milliseconds for which two targets may work on one stream while it moves; the platform's bound is 400. */
const MAX_OVERLAP_MS = 300

/** Milliseconds for which the origin of a stream is kept beyond the time that its caller has. */
const ORIGIN_MARGIN_MS = 5_000

/** Seconds after which a caller may retry when the versions of all targets were uncertain; they are stored or read within milliseconds. */
const RETRY_AFTER_SECONDS = 0.3

/** Options of {@link StreamForwarder}. */
export interface StreamForwarderOptions {
  readonly attempts: AttemptContext
  readonly turns: TurnStore
  readonly budgets: BudgetStore
  readonly origins: OriginStore
  readonly versions: VersionStore
  readonly versionGate: VersionGate
  readonly listConfirmation: Pick<ListConfirmation, 'confirm'>
  readonly clock: Clock
  /** Gets the tokens that one event of a service's streams counts for. */
  readonly getTokensPerEvent: (service: string) => number
  /** Checks whether the store is unavailable. */
  readonly isStoreUnavailable: () => boolean
  /** Gets the seconds after which a caller should retry because of the store. */
  readonly getStoreRetrySeconds: () => number
}

/** Progress of one stream while it is relayed, over all attempts. */
interface StreamProgress extends ContinuedStream {
  /** Transcript of a retained turn; undefined on other routes, where nothing of the stream is kept. */
  readonly transcript: Transcript | undefined
  readonly limit: StreamLimit
  readonly rate: StreamRate
  events: number
  /** Tokens of the events that were sent to the caller. */
  tokens: number
  mediaType: string | undefined
  lastEventId: string | undefined
  lastEventAt: number
  /** The stream as its caller has it; undefined before the first event. */
  stream: BegunStream | undefined
}

/** One attempt whose stream may move to another target. */
interface HandoverContext {
  readonly exchange: Exchange
  readonly attempts: Attempts
  readonly attempt: Attempt
  readonly progress: StreamProgress
  /** Gets the request by which another target continues the stream. */
  readonly getRequest: () => AttemptRequest
}

/** A request whose attempts are relayed. */
interface RelayedRequest {
  readonly exchange: Exchange
  readonly attempts: Attempts
  readonly prompt: Buffer
  readonly progress: StreamProgress
  /** Called once all events were relayed, before the turn is saved. */
  readonly onEventsRelayed: () => void
}

/** One attempt whose events are relayed. */
interface StreamRelay {
  readonly exchange: Exchange
  readonly attempts: Attempts
  readonly attempt: Attempt
  readonly progress: StreamProgress
  readonly handover: StreamHandover
}

/** Forwards requests whose response is a stream of events: the turns of programs. */
export class StreamForwarder {
  private readonly _options: StreamForwarderOptions

  constructor (options: StreamForwarderOptions) {
    this._options = options
  }

  /** Forwards a turn and relays its events. */
  async forward (exchange: Exchange, input: Buffer | undefined): Promise<void> {
    const { isStoreUnavailable, getStoreRetrySeconds } = this._options
    const arrival = {
      isStoreUnavailable: isStoreUnavailable(), remainingMs: exchange.getRemainingMs(), maxWaitMs: getCallerWaitMs(exchange.route)
    }
    if (exchange.route.isRetained && !shouldRunTurn(arrival)) {
      exchange.refuse({ reason: 'turn-not-savable', retryAfterSeconds: getStoreRetrySeconds() })
      return
    }
    const { lastEventId } = exchange.call
    if (lacksEarlierEvents({ isRetained: exchange.route.isRetained, lastEventId })) {
      exchange.refuse({ reason: 'turn-incomplete', members: { stream: exchange.call.resumedStream ?? null, lastEventId } })
      return
    }
    const found = await this._findStream(exchange)
    if (found.isLeft()) {
      exchange.refuse(found.extract() as Refusal)
      return
    }
    const stream = found.unsafeCoerce()
    // Without a permit in time the turn will be refused, so it does not load the store with its transcript and budget.
    const { limitedPlacer, random } = this._options.attempts
    const permitWaitMs = limitedPlacer.getKnownWait(exchange.call, exchange.route, getMaxPermitWait(exchange, true), stream)
    if (permitWaitMs !== undefined) {
      exchange.refuse({ reason: 'targets-limited', retryAfterSeconds: getRetrySeconds(permitWaitMs, random) })
      return
    }
    // Both may need the store in another region, so they are requested at the same time.
    const [loaded, reservation] = await Promise.all([this._loadPrompt(exchange, input), this._reserve(exchange)])
    const refusal = this._getRefusal(exchange, loaded, reservation)
    if (refusal !== undefined || reservation.type !== 'granted') {
      if (reservation.type === 'granted') reservation.settle(0)
      if (refusal !== undefined) exchange.refuse(refusal)
      return
    }
    const { settle } = reservation
    const prompt = loaded.unsafeCoerce()
    const { maxOutputTokens: maxTokens } = exchange.call
    const progress: StreamProgress = {
      transcript: exchange.route.isRetained ? new Transcript(prompt) : undefined,
      limit: new StreamLimit({ maxTokens }),
      rate: new StreamRate(),
      events: 0,
      tokens: 0,
      mediaType: undefined,
      lastEventId,
      lastEventAt: exchange.startedAt,
      stream
    }
    let isSettled = false
    const settleOnce = (): void => {
      if (!isSettled) settle(progress.tokens)
      isSettled = true
    }
    try {
      await this._relayAttempts(exchange, prompt, progress, settleOnce)
    } finally {
      settleOnce()
    }
  }

  /** Checks whether the program of a request has had turns, as far as this gateway knows. */
  hasEarlierTurns (exchange: Exchange): boolean {
    const { program } = exchange.call
    return program !== undefined && this._options.budgets.hasEarlierTurns(exchange.scope(program.id))
  }

  /** Finds the stream that a request continues; undefined for a new stream. */
  private async _findStream (exchange: Exchange): Promise<Either<Refusal, BegunStream | undefined>> {
    const { call, route } = exchange
    if (call.resumedStream === undefined && call.lastEventId === undefined) {
      return await this._awaitVersions(exchange, undefined) ? Right(undefined) : Left({ reason: 'no-target', retryAfterSeconds: RETRY_AFTER_SECONDS })
    }
    const members = { stream: call.resumedStream ?? null }
    const { getStoreRetrySeconds, attempts } = this._options
    const found = await this._findOrigin(exchange)
    if (found.isLeft()) {
      const reason = found.extract() as RefusalReason
      return Left({ reason, members, retryAfterSeconds: reason === 'origin-unreadable' ? getStoreRetrySeconds() : undefined })
    }
    const origin = found.unsafeCoerce()
    if (!await this._awaitVersions(exchange, { origin })) {
      return Left({ reason: 'origin-unreadable', members: { ...members, ...origin }, retryAfterSeconds: getStoreRetrySeconds() })
    }
    if (attempts.placer.getCandidates(call, route, { origin }).length > 0) return Right({ origin })
    return Left({ reason: 'version-gone', members: { ...members, ...origin } })
  }

  /** Waits until a target is known to have the version that a stream needs; returns false if it is still uncertain in the end. */
  private async _awaitVersions (
    exchange: Exchange, stream: BegunStream | undefined, deadline = this._getPrepareDeadline(exchange)
  ): Promise<boolean> {
    const { call, route, callerDisconnected } = exchange
    const { attempts: { placer }, clock, versionGate } = this._options
    const getRemainingMs = (): number => callerDisconnected.aborted ? 0 : deadline - clock.now()
    return await versionGate.wait(call.id, () => placer.isWithheld(call, route, stream), getRemainingMs)
  }

  /** Finds where the stream of a request began; without its name, if only one version of its service can have begun it. */
  private async _findOrigin (exchange: Exchange): Promise<Either<RefusalReason, StreamOrigin>> {
    const { call, route } = exchange
    const { origins, versions } = this._options
    const deadline = this._getPrepareDeadline(exchange)
    if (call.resumedStream !== undefined) {
      return await origins.find(exchange.scope(call.resumedStream), getOriginRetentionMs(exchange), deadline)
    }
    const [backend, ...others] = route.backends
    if (!route.isResumable || backend === undefined || others.length > 0) return Left('origin-unknown')
    return await versions.findOnly(backend.service, deadline)
  }

  /** Records the target that sends the first event of a new stream. */
  private _begin (exchange: Exchange, target: Target): BegunStream {
    const origin = getOrigin(target)
    if (exchange.route.isResumable) this._options.origins.record(exchange.scope(exchange.call.id), origin, getOriginRetentionMs(exchange))
    return { origin }
  }

  /** Loads the transcript of the earlier turns and appends the new input. */
  private async _loadPrompt (exchange: Exchange, input: Buffer | undefined): Promise<Either<RefusalReason, Buffer>> {
    const newInput = input ?? Buffer.alloc(0)
    const { previousTurn } = exchange.call
    if (!exchange.route.isRetained || previousTurn === undefined) return Right(newInput)
    const loaded = await this._options.turns.load(exchange.scope(previousTurn), this._getPrepareDeadline(exchange))
    return loaded.chain<RefusalReason, Buffer>(transcript => {
      return exchange.held.tryHold(transcript.length) ? Right(Buffer.concat([transcript, newInput])) : Left('memory-full')
    })
  }

  /** Reserves the tokens of a turn. */
  private async _reserve (exchange: Exchange): Promise<Reservation> {
    const { id, program, maxOutputTokens } = exchange.call
    if (program?.tokenBudget === undefined) return { type: 'granted', settle: () => {} }
    const { budgets, attempts } = this._options
    return await budgets.reserve({
      req: id,
      program: exchange.scope(program.id),
      limit: program.tokenBudget,
      tokens: maxOutputTokens,
      chooseTarget: warmTarget => attempts.placer.place(exchange.call, exchange.route, { warmTarget })?.state.incarnation,
      deadline: this._getPrepareDeadline(exchange)
    })
  }

  /** Gets the refusal of a turn that lacks its earlier turns or its tokens; undefined if it has both. */
  private _getRefusal (exchange: Exchange, loaded: Either<RefusalReason, Buffer>, reservation: Reservation): Refusal | undefined {
    const { previousTurn, program } = exchange.call
    const retryAfterSeconds = this._options.getStoreRetrySeconds()
    if (loaded.isLeft()) {
      const reason = loaded.extract() as RefusalReason
      return { reason, retryAfterSeconds: reason === 'turn-unknown' ? undefined : retryAfterSeconds, members: { turn: previousTurn! } }
    }
    if (reservation.type === 'spent') return { reason: 'budget-spent', members: { program: program!.id } }
    if (reservation.type === 'unreadable') return { reason: 'budget-unreadable', retryAfterSeconds, members: { program: program!.id } }
    return undefined
  }

  private async _relayAttempts (exchange: Exchange, prompt: Buffer, progress: StreamProgress, onEventsRelayed: () => void): Promise<void> {
    const { budgets } = this._options
    const program = exchange.call.program === undefined ? undefined : exchange.scope(exchange.call.program.id)
    const attempts = new Attempts(this._options.attempts, exchange, {
      warmTarget: program === undefined ? undefined : budgets.getWarmTarget(program),
      isInProgress: program !== undefined && budgets.hasEarlierTurns(program),
      awaitTargets: async stream => {
        const deadline = Math.min(exchange.deadline, this._options.clock.now() + PREPARE_TIMEOUT_MS)
        return await this._awaitVersions(exchange, stream, deadline)
      },
      confirmTargets: async () => await this._options.listConfirmation.confirm()
    })
    try {
      await this._relayUntilEnd({ exchange, attempts, prompt, progress, onEventsRelayed })
    } finally {
      attempts.close()
    }
  }

  /** Relays the attempts of a request, one after the other, until the stream is complete or no further attempt is allowed. */
  private async _relayUntilEnd ({ exchange, attempts, prompt, progress, onEventsRelayed }: RelayedRequest): Promise<void> {
    const getRequest = (): AttemptRequest => ({ body: prompt, lastEventId: progress.lastEventId, stream: progress.stream })
    let attempt = await attempts.next(getRequest())
    for (;;) {
      if (attempt === undefined) return
      const isStream = attempt.response.head.status === 200 || exchange.hasStarted()
      const handover = this._createHandover({ exchange, attempts, attempt, progress, getRequest })
      let failure: ResponseFailure | undefined
      try {
        failure = isStream ? await this._relay({ exchange, attempts, attempt, progress, handover }) : await relayBody(exchange, attempt)
        if (failure !== undefined && failure.isFinal !== true) await handover.settle()
      } finally {
        handover.stop()
        attempt.finish()
      }
      const successor = handover.getSuccessor()
      if (successor !== undefined) {
        attempts.recordMove(attempt, successor, this._options.clock.now() - progress.lastEventAt, failure)
        this._options.attempts.metrics.addRetry('stream-resumed')
        attempt = successor
        continue
      }
      if (failure === undefined) attempts.recordAnswer(attempt)
      if (failure === undefined && !isStream) return
      if (failure === undefined) {
        // Unspent tokens are released before the turn is saved, so that a slow store doesn't block other turns of the program.
        onEventsRelayed()
        await this._finish(exchange, progress)
        return
      }
      if (!attempts.handleFailure(attempt, failure)) return
      if (progress.events > 0) this._options.attempts.metrics.addRetry('stream-resumed')
      attempt = await attempts.next(getRequest())
    }
  }

  private _createHandover ({ exchange, attempts, attempt, progress, getRequest }: HandoverContext): StreamHandover {
    return new StreamHandover({
      limitMs: getCallerWaitMs(exchange.route) * SILENCE_SHARE,
      askOther: async cancelled => await askOther({ attempts, progress, request: getRequest(), cancelled }),
      dropOther: (other, cancelled) => { attempts.dropOther(other, 'the stream has moved already', cancelled) },
      endCurrent: attempt.response.discard,
      onError: err => { this._options.attempts.log.warn('stream-not-moved', { req: exchange.call.id, cause: err instanceof Error ? err.stack : String(err) }) }
    })
  }

  /** Relays the events of one attempt; returns the failure that interrupted the stream, or undefined when it is complete or has moved. */
  private async _relay ({ exchange, attempts, attempt, progress, handover }: StreamRelay): Promise<ResponseFailure | undefined> {
    const { head, body } = attempt.response
    const isContinuation = exchange.hasStarted()
    const failure = getHeadFailure(attempt) ?? (isContinuation ? getContinuationFailure(progress, head) : undefined)
    if (failure !== undefined) {
      attempt.response.discard()
      return { cause: failure, isConnectionLost: false }
    }
    const splitter = new EventSplitter()
    let isFirst = true
    let hasOther = false
    const tokensPerEvent = this._options.getTokensPerEvent(attempt.state.target.service)
    try {
      for await (const chunk of body) {
        exchange.recordReceived()
        attempt.recordReceived()
        for (const event of splitter.add(chunk)) {
          // What the former target still sends would come twice.
          if (handover.getSuccessor() !== undefined) return undefined
          if (isContinuation && isFirst) {
            if (!isProgress(event)) {
              hasOther = true
              continue
            }
            if (!isNextEvent(progress, event)) {
              attempt.response.discard()
              return { cause: `event ${event.id} does not follow event ${progress.lastEventId!}`, isConnectionLost: false }
            }
          }
          if (isProgress(event) && handover.stop()) attempts.recordGoingOn(attempt, this._options.clock.now() - progress.lastEventAt)
          const excess = getExcess(progress, event, event.data === undefined ? 0 : tokensPerEvent)
          if (excess !== undefined) {
            attempt.response.discard()
            return { cause: excess, isConnectionLost: false, isFinal: true }
          }
          if (!exchange.hasStarted()) {
            exchange.start(head)
            progress.mediaType = head.mediaType
          }
          attempt.recordFirstChunk()
          progress.stream ??= this._begin(exchange, attempt.state.target)
          progress.events++
          progress.tokens += tokensPerEvent
          const now = this._options.clock.now()
          if (isFirst) isFirst = false
          else attempt.state.pace.recordGap(now - progress.lastEventAt, now)
          progress.lastEventAt = now
          if (event.id !== '') progress.lastEventId = event.id
          await exchange.write(event.bytes)
          if (isProgress(event) && isRepeatable(exchange.route)) handover.start()
        }
        if (splitter.isTooLong()) {
          attempt.response.discard()
          return { cause: `an event exceeds ${MAX_EVENT_BYTES} bytes`, isConnectionLost: false }
        }
        const pauseMs = progress.rate.add(chunk.length, this._options.clock.now())
        if (pauseMs > 0) await sleep(pauseMs)
      }
    } catch (err) {
      if (handover.getSuccessor() !== undefined) return undefined
      return { cause: err instanceof Error ? err.message : String(err), isConnectionLost: true }
    }
    if (isFirst && hasOther) return { cause: 'the response has no event of the stream', isConnectionLost: false }
    if (splitter.getRemainder().length > 0 || progress.events === 0) return { cause: 'the stream ended within an event', isConnectionLost: true }
    return undefined
  }

  /** Ends the response; a retained turn is saved first, because a caller may continue from it as soon as its stream has ended. */
  private async _finish (exchange: Exchange, progress: StreamProgress): Promise<void> {
    const { route, call } = exchange
    if (progress.transcript !== undefined) {
      const deadline = Math.min(exchange.deadline, progress.lastEventAt + getCallerWaitMs(route) - SAVE_MARGIN_MS)
      if (!await this._options.turns.save(exchange.scope(call.id), progress.transcript.getPieces(), route.retentionMs, deadline)) {
        exchange.abort('the turn could not be saved in time')
        return
      }
    }
    exchange.end()
  }

  private _getPrepareDeadline (exchange: Exchange): number {
    return Math.min(exchange.deadline, exchange.startedAt + PREPARE_TIMEOUT_MS)
  }
}

interface AskOptions {
  readonly attempts: Attempts
  readonly progress: StreamProgress
  readonly request: AttemptRequest
  readonly cancelled: AbortSignal
}

/** Asks another target to continue a stream; undefined if none has sent an event of it. */
async function askOther ({ attempts, progress, request, cancelled }: AskOptions): Promise<Attempt | undefined> {
  const other = await attempts.askOther(request, cancelled)
  if (other === undefined) return undefined
  const { head, body } = other.response
  try {
    const failure = getHeadFailure(other) ?? getContinuationFailure(progress, head)
    if (failure !== undefined) throw new Error(failure)
    const isExpected = (event: StreamEvent): boolean => isNextEvent(progress, event)
    return { ...other, response: { ...other.response, body: await awaitFirstEvent(body, MAX_OVERLAP_MS, isExpected) } }
  } catch (err) {
    attempts.dropOther(other, err instanceof Error ? err.message : String(err), cancelled)
    return undefined
  }
}

/** Counts an event and adds it to the transcript; returns the limit that it exceeds, or undefined if it may be relayed. */
function getExcess ({ limit, transcript }: StreamProgress, event: StreamEvent, tokens: number): string | undefined {
  const excess = limit.add({ bytes: event.bytes.length, tokens })
  if (excess !== undefined || transcript === undefined || transcript.addEvent(event)) return excess
  return `the turn exceeds ${MAX_TURN_BYTES} bytes`
}

/** Gets the milliseconds for which a caller may continue its stream. */
function getOriginRetentionMs ({ call, route }: Exchange): number {
  return Math.max(call.timeoutMs ?? 0, route.timeoutMs) + ORIGIN_MARGIN_MS
}
