import { build, type Histogram } from 'hdr-histogram-js'
import { Deployment, ENGINE_SLOTS, type CallCompletion, type CallRequest, type DeploymentShape, type Policy } from './Deployment.js'
import { Random } from './Random.js'
import { Timeline } from './Timeline.js'
import { BATCH_COST, DECODE_STEP_MS, PREFILL_MS_PER_UNCACHED_TOKEN } from './VirtualTarget.js'

/** Load and variations of a workload. */
export interface WorkloadOptions {
  /** Mean load as a fraction of the decode capacity of all engines. */
  readonly load: number
  /** Switches the demand between two levels, one three times the other, within seconds. */
  readonly hasSwings: boolean
  /** Makes a few sessions many times longer than the others. */
  readonly hasStragglers: boolean
  /** Slows down a quarter of the targets fivefold for short periods. */
  readonly hasSlowdowns: boolean
  /** Raises the demand to twice the capacity during the middle third of the run. */
  readonly hasLoadPeak: boolean
}

/** Milliseconds of one run during which requests arrive. */
export const RUN_MS = 180_000

/** Milliseconds from the arrival of a call to its deadline. */
const DEADLINE_MS = 20_000

/** Milliseconds after the last arrival within which open sessions can finish. */
const SETTLE_MS = 240_000

const SHARED_TOKENS = 700
const TURN_TOKENS = 120
const MEAN_TURNS = 6
const MEAN_OUTPUT = 90
const STRAGGLER_SHARE = 0.03
const STRAGGLER_TURNS = 60
const STRAGGLER_OUTPUT = 400
const MEAN_PAUSE_MS = 1_500
const CHILD_SHARE = 0.1
const SHORT_OUTPUT = 12
const SHORT_PROMPT = 30
const SHORT_REQUESTS_PER_SESSION = 2
/** Maximum number of output tokens of a call of a session. */
const MAX_TOKENS = 1_024
const SLOWDOWN_FACTOR = 5
const SLOWDOWN_MS = 8_000
const SLOWDOWN_INTERVAL_MS = 20_000

/** Measured values of one run. */
export class Outcome {
  /** Durations of complete sessions without their tool pauses, in milliseconds. */
  readonly sessions: Histogram = build({ numberOfSignificantValueDigits: 3 })
  /** Latencies of short requests to engines, in milliseconds. */
  readonly shortRequests: Histogram = build({ numberOfSignificantValueDigits: 3 })
  /** Latencies of plain requests, in milliseconds. */
  readonly plainRequests: Histogram = build({ numberOfSignificantValueDigits: 3 })
  /** Latencies of model calls of sessions, in milliseconds. */
  readonly calls: Histogram = build({ numberOfSignificantValueDigits: 3 })
  reusableTokens = 0
  recomputedTokens = 0
  /** Tokens of responses within their deadline during the load peak. */
  loadPeakTokens = 0
  refusals = 0
  slowestRefusalMs = 0
  unfinishedSessions = 0
}

interface Session {
  readonly id: string
  readonly turns: number
  readonly meanOutput: number
  readonly isStraggler: boolean
  /** Generator of this session alone, so that its turns and sizes are the same under every policy. */
  readonly random: Random
  turn: number
  historyTokens: number
  attainedTokens: number
  targets: string[]
  spentMs: number
}

/** Generates the load of one deployment: sessions of varying length, short requests and plain requests. */
export class Workload {
  private readonly _timeline = new Timeline()
  private readonly _random: Random
  private readonly _deployment: Deployment
  private readonly _outcome = new Outcome()
  private readonly _engineCount: number
  private readonly _seed: number
  private _sessionCount = 0
  private _requestCount = 0
  private _openSessionCount = 0

  constructor (shape: DeploymentShape, policy: Policy, private readonly _options: WorkloadOptions, seed: number) {
    this._seed = seed
    this._random = new Random(seed)
    this._deployment = new Deployment(this._timeline, shape, policy)
    this._engineCount = shape.engines.reduce((sum, group) => sum + group.count, 0)
  }

  /** Runs the complete workload; returns the measured values. */
  run (): Outcome {
    // Each kind of arrival has its own generator, so that the demand is the same under every policy.
    const [sessions, shorts, plains] = [1, 2, 3].map(kind => new Random(this._seed * 31 + kind))
    this._scheduleArrival(sessions!, this._getSessionRate(), () => { this._startSession() })
    this._scheduleArrival(shorts!, this._getSessionRate() * SHORT_REQUESTS_PER_SESSION, () => { this._sendShortRequest() })
    this._scheduleArrival(plains!, this._getSessionRate() * 2, () => { this._sendPlainRequest() })
    if (this._options.hasSlowdowns) this._injectSlowdowns()
    this._timeline.runUntil(RUN_MS + SETTLE_MS)
    this._outcome.refusals = this._deployment.refusals
    this._outcome.unfinishedSessions = this._openSessionCount
    return this._outcome
  }

  /** Gets the number of tokens that all engines can generate during the load peak if every reusable prefix is cached. */
  getLoadPeakCapacity (): number {
    const { engineMs, tokens } = this._getMeanSession()
    return this._engineCount * (RUN_MS / 3) * tokens / engineMs
  }

  /** Gets the number of sessions per millisecond that results in the mean load. */
  private _getSessionRate (): number {
    return this._options.load * this._engineCount / this._getMeanSession().engineMs
  }

  /** Gets the engine time and the tokens of a mean session, including its share of the short requests. */
  private _getMeanSession (): { engineMs: number, tokens: number } {
    const straggler = this._options.hasStragglers ? STRAGGLER_SHARE : 0
    const turns = MEAN_TURNS * (1 + CHILD_SHARE)
    const sessionTokens = (1 - straggler) * turns * MEAN_OUTPUT + straggler * STRAGGLER_TURNS * STRAGGLER_OUTPUT
    const tokens = sessionTokens + SHORT_REQUESTS_PER_SESSION * SHORT_OUTPUT
    const prompts = ((1 - straggler) * turns + straggler * STRAGGLER_TURNS) * TURN_TOKENS + SHORT_REQUESTS_PER_SESSION * SHORT_PROMPT
    const decodeMs = DECODE_STEP_MS * (1 + BATCH_COST * (ENGINE_SLOTS - 1)) / ENGINE_SLOTS
    return { engineMs: tokens * decodeMs + prompts * PREFILL_MS_PER_UNCACHED_TOKEN, tokens }
  }

  private _getDemand (now: number): number {
    if (this._options.hasLoadPeak && now >= RUN_MS / 3 && now < 2 * RUN_MS / 3) return 2 / this._options.load
    if (!this._options.hasSwings) return 1
    // Demand is three times as high in 4 of every 16 seconds; its mean stays the same.
    return now % 16_000 < 4_000 ? 2 : 2 / 3
  }

  private _scheduleArrival (random: Random, rate: number, start: () => void): void {
    const now = this._timeline.clock.now()
    if (now >= RUN_MS) return
    this._timeline.after(random.exponential(1 / (rate * this._getDemand(now))), () => {
      if (this._timeline.clock.now() < RUN_MS) start()
      this._scheduleArrival(random, rate, start)
    })
  }

  private _startSession (): void {
    const number = this._sessionCount++
    const random = new Random(this._seed * 1_000_003 + number)
    const isStraggler = this._options.hasStragglers && random.next() < STRAGGLER_SHARE
    const turns = isStraggler ? STRAGGLER_TURNS : 1 + Math.floor(random.exponential(MEAN_TURNS - 1))
    this._openSessionCount++
    this._startTurn({
      id: `s${number}`,
      random,
      turns,
      meanOutput: isStraggler ? STRAGGLER_OUTPUT : MEAN_OUTPUT,
      isStraggler,
      turn: 0,
      historyTokens: SHARED_TOKENS,
      attainedTokens: 0,
      targets: [],
      spentMs: 0
    })
  }

  private _startTurn (session: Session): void {
    if (session.turn >= session.turns) return this._closeSession(session)
    const startedAt = this._timeline.clock.now()
    this._call(session, completion => {
      if (!completion.isAnswered) return this._retryTurn(session, startedAt)
      session.turn++
      session.spentMs += completion.endedAt - startedAt
      this._outcome.calls.recordValue(completion.endedAt - startedAt)
      if (session.random.next() < CHILD_SHARE) return this._runChild(session)
      this._pause(session)
    })
  }

  private _retryTurn (session: Session, startedAt: number): void {
    // A session that was refused at its first turn counts as not started; a session in progress retries the turn.
    if (session.turn === 0) {
      this._openSessionCount--
      return
    }
    session.spentMs += this._timeline.clock.now() - startedAt
    this._timeline.after(1_000, () => {
      session.spentMs += 1_000
      this._startTurn(session)
    })
  }

  private _runChild (session: Session): void {
    const startedAt = this._timeline.clock.now()
    const child: Session = { ...session, id: `${session.id}-c${session.turn}`, historyTokens: SHARED_TOKENS, targets: [], turn: 1 }
    this._call(child, completion => {
      session.spentMs += completion.endedAt - startedAt
      this._deployment.release(child.id)
      this._pause(session)
    })
  }

  private _pause (session: Session): void {
    this._timeline.after(session.random.exponential(MEAN_PAUSE_MS), () => { this._startTurn(session) })
  }

  private _closeSession (session: Session): void {
    this._openSessionCount--
    this._deployment.release(session.id)
    if (!session.isStraggler) this._outcome.sessions.recordValue(session.spentMs)
  }

  private _call (session: Session, onEnd: (completion: CallCompletion) => void): void {
    const outputTokens = Math.min(MAX_TOKENS, Math.max(8, Math.round(session.random.exponential(session.meanOutput))))
    const now = this._timeline.clock.now()
    const promptTokens = session.historyTokens + TURN_TOKENS
    const reusableTokens = session.turn === 0 ? 0 : session.historyTokens
    const work = { session: session.id, sharedTokens: SHARED_TOKENS, promptTokens, reusableTokens, outputTokens, maxTokens: MAX_TOKENS + 1 }
    this._send({
      service: 'engine',
      workspace: 'w',
      work,
      attainedTokens: session.attainedTokens,
      warmTargets: session.targets,
      isInProgress: session.turn > 0,
      deadline: session.isStraggler ? Infinity : now + this._getDeadlineMs()
    }, completion => {
      if (completion.isAnswered) {
        session.historyTokens = promptTokens + outputTokens
        session.attainedTokens += outputTokens
        session.targets = [...session.targets.filter(target => target !== completion.target), completion.target]
        this._outcome.reusableTokens += reusableTokens
        this._outcome.recomputedTokens += Math.max(0, reusableTokens - completion.cachedTokens)
      }
      onEnd(completion)
    })
  }

  private _sendShortRequest (): void {
    const now = this._timeline.clock.now()
    const work = {
      session: `short${this._requestCount++}`,
      sharedTokens: SHARED_TOKENS,
      promptTokens: SHARED_TOKENS + SHORT_PROMPT,
      reusableTokens: 0,
      outputTokens: SHORT_OUTPUT,
      maxTokens: SHORT_OUTPUT + 1
    }
    this._send({
      service: 'engine', workspace: 'w', work, attainedTokens: 0, warmTargets: [], isInProgress: false, deadline: now + this._getDeadlineMs()
    }, completion => {
      this._deployment.release(work.session)
      if (completion.isAnswered) this._outcome.shortRequests.recordValue(completion.endedAt - now)
    })
  }

  private _sendPlainRequest (): void {
    const now = this._timeline.clock.now()
    const work = { session: `plain${this._requestCount++}`, sharedTokens: 0, promptTokens: 0, reusableTokens: 0, outputTokens: 0, maxTokens: 0 }
    this._send({
      service: 'desk', workspace: 'w', work, attainedTokens: 0, warmTargets: [], isInProgress: false, deadline: now + this._getDeadlineMs()
    }, completion => { if (completion.isAnswered) this._outcome.plainRequests.recordValue(completion.endedAt - now) })
  }

  private _send (call: CallRequest, onEnd: (completion: CallCompletion) => void): void {
    const sentAt = this._timeline.clock.now()
    this._deployment.call(call, completion => {
      const isInLoadPeak = completion.endedAt >= RUN_MS / 3 && completion.endedAt < 2 * RUN_MS / 3
      if (completion.isAnswered && isInLoadPeak && completion.endedAt <= call.deadline) {
        this._outcome.loadPeakTokens += call.work.outputTokens
      }
      if (!completion.isAnswered) this._outcome.slowestRefusalMs = Math.max(this._outcome.slowestRefusalMs, completion.endedAt - sentAt)
      onEnd(completion)
    })
  }

  private _getDeadlineMs (): number {
    return this._options.hasLoadPeak ? DEADLINE_MS : 10 * DEADLINE_MS
  }

  private _injectSlowdowns (): void {
    const targets = [...this._deployment.targets.values()]
    const slowed = targets.filter((_, index) => index % 4 === this._random.int(0, 3) % 4).slice(0, Math.ceil(targets.length / 4))
    for (const target of slowed) target.slowdown = SLOWDOWN_FACTOR
    this._timeline.after(SLOWDOWN_MS, () => { for (const target of slowed) target.slowdown = 1 })
    if (this._timeline.clock.now() < RUN_MS) this._timeline.after(SLOWDOWN_INTERVAL_MS, () => { this._injectSlowdowns() })
  }
}
