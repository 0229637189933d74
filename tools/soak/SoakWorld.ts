import { setTimeout as sleep } from 'node:timers/promises'
import { Random } from '../measure/Random.js'
import type { EngineRun, EngineStandin } from '../platform/EngineStandin.js'
import { GatewayProcess } from '../platform/GatewayProcess.js'
import { callPlatform, type PlatformCall, type PlatformCallResponse } from '../platform/PlatformCaller.js'
import { PlatformFixture, type ConfigChanges } from '../platform/PlatformFixture.js'
import { FaultProxy } from './FaultProxy.js'
import { PromiseChecks } from './Promises.js'
import { KEYED_PATH, SoakWorkspaces } from './SoakWorkspaces.js'
import { TroubleLog } from './TroubleLog.js'

/** Model engines, half of each software version, and plain services. */
const ENGINES = 6
const DESKS = 3

/** Milliseconds between two events of a stream; most faults meet streams in progress. */
const EVENT_GAP_MS = 60

/** Milliseconds before a gateway that has ended is started again. */
const DOWN_MS = 400

/** Grace period of gateways that are told to stop, in milliseconds; the one of the deployments in tests of the platform. */
const GRACE_MS = 8_000

/** Lines with which settings may state the grace period, and lines without a usable one, where a gateway keeps that in force. */
const GRACE_LINES = ['grace_ms = 8000', 'grace_s = 8', 'grace_s = 8.0', 'grace_s = 7.75'] as const
const UNUSABLE_GRACE_LINES = ['grace_s = ', 'grace_s = true', 'grace_s = {"a": 1}'] as const

/** Time limit of the fixture's routes, in milliseconds; shorter than the grace period, so that a stop can wait for each request. */
export const ROUTE_TIMEOUT_MS = 6_000

/** Time limit of the route whose requests must end soon, in milliseconds. */
export const SHORT_TIMEOUT_MS = 1_200

/** Time within which callers must send the head of a request, in milliseconds. */
export const HEADER_TIMEOUT_MS = 1_000

/** Milliseconds of each response of the store, as from another region. */
const STORE_LATENCY_MS = 28

/** Resident memory of a gateway on the smallest deployment, in MB, and its heap. */
const MEMORY_LIMIT_MB = 210
const HEAP_MB = 120

/** Milliseconds between two readings of the gateways' memory. */
const MEMORY_INTERVAL_MS = 50

/** Milliseconds for which a target that leaves still serves. */
export const DRAIN_MS = 2_500

/** Milliseconds within which a configuration is in force. */
const CONFIG_APPLY_MS = 2_500

/** Milliseconds within which a connection that the gateway closes may cross a request. */
const CROSSING_MS = 200

/** Milliseconds after a stop within which the requests of kept connections may be cut at the end of the grace period. */
const STOP_NOTICE_MS = 3_000

/** Share of the grace period after which a request that was sent within {@link STOP_NOTICE_MS} may be cut. */
const STOP_SHARE = 5 / 6

/** Time that callers allow for a request by default, in milliseconds. */
const CALLER_TIMEOUT_MS = 3_000

/** Milliseconds after its time limit after which a caller closes a connection that still has no end of its response. */
const GIVE_UP_MS = 1_000

/** Share of its time limit after which a request may end without a response. */
const TIMEOUT_SHARE = 0.7

/** Statuses that state that a request has not run. */
export const NOT_RUN: readonly number[] = [429, 503, 408, 421]

/** Routes of the soak besides those of the fixture. */
const ROUTES: NonNullable<ConfigChanges['routes']> = [
  { name: 'single', pathPrefix: '/turns/single/', kind: 'streaming', retained: false, resumable: true, maxAttempts: 1 },
  { name: 'both', pathPrefix: '/turns/both/', kind: 'streaming', retained: true, resumable: true, maxAttempts: 2 },
  { name: 'short', pathPrefix: '/short/', kind: 'idempotent', service: 'desk', timeoutMs: SHORT_TIMEOUT_MS },
  { name: 'keyed', pathPrefix: KEYED_PATH, kind: 'non_idempotent', service: 'desk', public: false }
]

/** Settings of quotas, as deploy/settings.toml has them. */
const QUOTA_SETTINGS = ['[quotas]', 'window_s = 5', 'overshoot = 0.1', 'slack = 20']

/** A place for a gateway process, which is started again after each end. */
export interface GatewaySlot {
  readonly index: number
  readonly proxy: FaultProxy
  readonly storeAddress: string
  process: GatewayProcess | undefined
  /** Time at which the process was told to stop. */
  stoppedAt: number | undefined
  /** Line of the settings with the grace period, with which the next process starts. */
  graceLine: string
  /** True while the process may end. */
  isEnding: boolean
  /** Targets whose notice that they leave the process has passed on, with the time. */
  readonly noticesAt: Map<string, number>
}

/** How a request reaches a gateway. */
export interface SendOptions extends PlatformCall {
  /** Gateway that gets the request; a random one that runs by default. */
  readonly slot?: GatewaySlot
}

/** Gateway processes before stand-ins, with what tests of promises have to know about them. */
export class SoakWorld {
  readonly checks = new PromiseChecks()
  readonly fixture = new PlatformFixture()
  readonly trouble = new TroubleLog()
  readonly slots: GatewaySlot[] = []
  readonly lines: string[] = []
  readonly workspaces = new SoakWorkspaces(this)
  /** Times in which gateways are stopped, or all start for the first time: shares of quotas are not lent. */
  private readonly _absences = new TroubleLog()
  private readonly _hasWorkspaces: boolean
  isOver = false
  private readonly _random: Random
  /** Targets that have ended and are not started again yet. */
  private readonly _down = new Set<EngineStandin>()
  /** Time at which the last of them was started again. */
  private _upAt = -Infinity
  private readonly _bookings = new Set<string>()
  /** Statuses of requests that were answered as not run. */
  private readonly _refused = new Map<string, string>()
  /** Targets that leave by their row, with the time of the store's acknowledgement. */
  private readonly _leavingAt = new Map<string, number>()
  private _nextId = 0
  private _prefixes: string[] = []
  private _watching: Promise<void> = Promise.resolve()

  /** @param hasWorkspaces - Whether the configuration has workspaces; all routes but one need no key. */
  constructor (seed: number, hasWorkspaces: boolean) {
    this._random = new Random(seed)
    this._hasWorkspaces = hasWorkspaces
  }

  /** Starts the stand-ins and a number of gateways, and waits until they are ready. */
  async start (gateways: number): Promise<void> {
    const { fixture } = this
    const endStart = this._absences.begin()
    await fixture.start({ engines: ENGINES, desks: DESKS })
    fixture.store.latencyMs = STORE_LATENCY_MS
    this.configure()
    for (const [at, engine] of fixture.engines.entries()) {
      fixture.setEngineVersion(engine, at < ENGINES / 2 ? 'v1' : 'v2')
      engine.eventGapMs = EVENT_GAP_MS
    }
    for (let index = 0; index < gateways; index++) {
      const proxy = new FaultProxy(fixture.storeAddress)
      const storeAddress = await proxy.start()
      this.slots.push({
        index,
        proxy,
        storeAddress,
        process: undefined,
        stoppedAt: undefined,
        graceLine: GRACE_LINES[0],
        isEnding: false,
        noticesAt: new Map()
      })
    }
    await Promise.all(this.slots.map(async slot => { await this._launch(slot) }))
    await Promise.all(this.slots.map(async slot => { await slot.process!.waitUntilReady() }))
    endStart()
    this._watching = this._watchMemory()
  }

  /** Ends all processes and stand-ins. */
  async close (): Promise<void> {
    this.isOver = true
    await this._watching
    await Promise.all(this.slots.map(async slot => { await this._end(slot) }))
    for (const slot of this.slots) slot.proxy.close()
    this.fixture.close()
  }

  /** Gets all targets. */
  get targets (): EngineStandin[] {
    return [...this.fixture.engines, ...this.fixture.desks]
  }

  /** Gets the runs of a request at all targets. */
  getRuns (id: string): EngineRun[] {
    return this.targets.flatMap(standin => standin.runs.filter(run => run.id === id))
  }

  /** Creates an id that no other request has. */
  createId (kind: string): string {
    return `${kind}-${this._nextId++}`
  }

  /** Gets a gateway whose process runs; undefined if none does. */
  pickSlot (random: Random = this._random, except?: GatewaySlot): GatewaySlot | undefined {
    const running = this.slots.filter(slot => slot.process !== undefined && slot !== except)
    return running.length === 0 ? undefined : running[random.int(0, running.length - 1)]
  }

  /** Writes a new configuration; returns the prefix of a route that it adds. */
  configure (changes: ConfigChanges & { readonly extraRoutes?: number } = {}): string {
    const prefix = `/added/${this._prefixes.length}/`
    this._prefixes = [...this._prefixes, prefix]
    const many = Array.from({ length: changes.extraRoutes ?? 0 }, (_, at) => `/many/${at}/`)
    const routes = [...ROUTES, ...(changes.routes ?? [])]
    const tenants = this._hasWorkspaces ? this.workspaces.entries.map(entry => ({ ...entry })) : undefined
    this.fixture.configure({ timeoutMs: ROUTE_TIMEOUT_MS, public: true }, [...this._prefixes, ...many], { ...changes, routes, tenants })
    return prefix
  }

  /** Sends a request and checks what can be told of each response, whatever it is for. */
  async send (options: SendOptions): Promise<PlatformCallResponse> {
    const slot = options.slot ?? this.pickSlot()
    const gateway = slot?.process
    if (slot === undefined || gateway === undefined) {
      await sleep(CROSSING_MS)
      return { status: 0, headers: {}, body: '', isComplete: false }
    }
    const sentAt = performance.now()
    if (['/booking/', KEYED_PATH].some(prefix => options.path.startsWith(prefix))) this._bookings.add(options.id)
    const limitMs = Number(options.headers?.['x-timeout-ms'] ?? CALLER_TIMEOUT_MS)
    const giveUp = AbortSignal.timeout(limitMs + GIVE_UP_MS)
    const signal = options.signal === undefined ? giveUp : AbortSignal.any([options.signal, giveUp])
    const response = await callPlatform(gateway.callerAddress, { ...options, signal })
    if (this.trouble.isCalm(slot.index, sentAt)) {
      this.checks.check('ended', !giveUp.aborted, () => `${options.id} on ${options.path} had not ended ${GIVE_UP_MS} ms after its time limit`)
    }
    if (options.signal === undefined) this._checkAnswered(options, response, slot, sentAt)
    this._checkLeaving(options.id, slot, gateway, sentAt)
    if (NOT_RUN.includes(response.status)) this.noteRefused(options, `${response.status} of gateway-${slot.index}, sent at ${Math.round(sentAt)} ms`)
    return response
  }

  /** Checks, once the time for it is over, that all gateways in calm times know a route that a configuration added. */
  async checkConfig (prefix: string): Promise<void> {
    await sleep(CONFIG_APPLY_MS)
    await Promise.all(this.slots.map(async slot => {
      const gateway = slot.process
      const { status } = await this.send({ id: this.createId('added'), path: `${prefix}a`, slot })
      if (gateway === undefined || slot.process !== gateway || !this.trouble.isCalm(slot.index, performance.now())) return
      this.checks.check('config', status !== 404, () => `gateway-${slot.index} does not know ${prefix} ${CONFIG_APPLY_MS} ms after it was written`)
    }))
  }

  /** Records that a request was answered as not run, which must hold to the end. */
  noteRefused ({ id, path }: Pick<PlatformCall, 'id' | 'path'>, reason: string): void {
    if (['/booking/', '/turns/', KEYED_PATH].some(prefix => path.startsWith(prefix))) this._refused.set(id, reason)
  }

  /** Checks what the targets have run, after all callers have ended. */
  checkRuns (): void {
    const counts = new Map<string, number>()
    for (const run of this.targets.flatMap(standin => standin.runs)) counts.set(run.id, (counts.get(run.id) ?? 0) + 1)
    const check = (name: 'once' | 'notRun', id: string, max: number): void => {
      const count = counts.get(id) ?? 0
      this.checks.check(name, count <= max, () => `${id} ran ${count} times${name === 'notRun' ? ` after ${this._refused.get(id)}` : ''}`)
    }
    this.workspaces.checkRuns()
    for (const id of this._bookings) check('once', id, 1)
    for (const id of this._refused.keys()) check('notRun', id, 0)
  }

  /** Ends a gateway by a signal and starts the next process of the same id. */
  async replace (slot: GatewaySlot, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const gateway = slot.process
    if (gateway === undefined) return
    if (slot.isEnding) {
      // A platform may repeat its signal within one grace period.
      if (signal === 'SIGTERM' && slot.stoppedAt !== undefined) gateway.signal('SIGTERM')
      return
    }
    slot.isEnding = true
    if (signal === 'SIGTERM') slot.stoppedAt = performance.now()
    const end = signal === 'SIGKILL' ? this.trouble.begin(slot.index) : () => {}
    const endAbsence = this._absences.begin(slot.index)
    gateway.signal(signal)
    // A paused process receives the signal when it runs again.
    gateway.signal('SIGCONT')
    if (signal === 'SIGTERM') void sleep(GRACE_MS).then(() => { gateway.signal('SIGKILL') })
    await gateway.waitForExit()
    await this._end(slot)
    await sleep(DOWN_MS)
    await this._launch(slot)
    await slot.process!.waitUntilReady().catch(() => {})
    endAbsence()
    end()
  }

  /** Changes the grace period in the settings of a gateway, and tells the process; the next one starts with it. */
  changeSettings (slot: GatewaySlot, choice: number): void {
    const lines = [...GRACE_LINES, ...UNUSABLE_GRACE_LINES]
    const graceLine = lines[choice % lines.length]!
    if (GRACE_LINES.some(line => line === graceLine)) slot.graceLine = graceLine
    const { process } = slot
    process?.writeSettings(process.getSettings({ graceLine }))
    process?.signal('SIGHUP')
  }

  /** Stops the process of a gateway for a while, without its notice. */
  async pause (slot: GatewaySlot, forMs: number): Promise<void> {
    const gateway = slot.process
    if (gateway === undefined) return
    const end = this.trouble.begin(slot.index)
    gateway.signal('SIGSTOP')
    await sleep(forMs)
    gateway.signal('SIGCONT')
    slot.noticesAt.clear()
    end()
  }

  /** Pauses a gateway, or cuts its connections to the store, for a while. */
  async putOutOfStep (slot: GatewaySlot, mode: 'pause' | 'silent' | 'reset', forMs: number): Promise<void> {
    if (mode === 'pause') {
      await this.pause(slot, forMs)
      return
    }
    const end = this.trouble.begin(slot.index)
    slot.proxy.setMode(mode)
    await sleep(forMs)
    slot.proxy.setMode('open')
    end()
  }

  /** Checks that all gateways have run and reached each other for a while, from before a time until now. */
  areGatewaysInTouch (from: number): boolean {
    return this.slots.every(({ index }) => this.trouble.isCalm(index, from) && this._absences.isCalm(index, from))
  }

  /** Gets the reason for which a gateway refused a request; undefined if none did. */
  getRefusalReason (id: string): string | undefined {
    const lines = this.slots.flatMap(slot => slot.process?.getEvents('refused') ?? [])
    return lines.find(line => line.req === id)?.reason as string | undefined
  }

  /** Records that a target ends; returns false if it has ended already. */
  beginDown (standin: EngineStandin): boolean {
    if (this._down.has(standin)) return false
    this._down.add(standin)
    return true
  }

  /** Records that a target has started again. */
  endDown (standin: EngineStandin): void {
    this._down.delete(standin)
    this._upAt = performance.now()
  }

  /** Checks whether a target has ended and is not started again yet. */
  isDown (standin: EngineStandin): boolean {
    return this._down.has(standin)
  }

  /** Checks that no target was down since a time. */
  wereTargetsUp (from: number): boolean {
    return this._down.size === 0 && this._upAt < from
  }

  /** Crashes targets, removes their rows, and starts them again after a while. */
  async crash (standins: readonly EngineStandin[], downMs: number): Promise<void> {
    const end = this.trouble.begin()
    const crashed = standins.filter(standin => this.beginDown(standin))
    for (const standin of crashed) standin.crash()
    await sleep(downMs / 2)
    for (const standin of crashed) this.fixture.unregister(standin)
    await sleep(downMs / 2)
    for (const standin of crashed) {
      await standin.start()
      this.fixture.register(standin)
      this.endDown(standin)
    }
    end()
  }

  /** Starts one more model engine of a version, which responds as the others do. */
  async addEngine (version: string): Promise<EngineStandin> {
    const [first] = this.fixture.engines
    const engine = await this.fixture.addEngine(version)
    engine.eventGapMs = EVENT_GAP_MS
    for (const [path, respond] of first!.responders) engine.responders.set(path, respond)
    return engine
  }

  /** Records that the store knows that a target leaves, or that it doesn't any more. */
  setLeaving (standin: EngineStandin, isLeaving: boolean): void {
    if (isLeaving) this._leavingAt.set(standin.id, performance.now())
    else {
      this._leavingAt.delete(standin.id)
      for (const slot of this.slots) slot.noticesAt.delete(standin.id)
    }
  }

  /** A request that a target has run must get a whole response, unless something else than planned work explains the end. */
  private _checkAnswered (call: PlatformCall, response: PlatformCallResponse, slot: GatewaySlot, sentAt: number): void {
    const now = performance.now()
    const tookMs = now - sentAt
    const limitMs = Number(call.headers?.['x-timeout-ms'] ?? CALLER_TIMEOUT_MS)
    const runs = this.getRuns(call.id)
    const isAnswered = response.status !== 0 && response.isComplete
    const hasCrossed = response.status === 0 && runs.length === 0 && tookMs < CROSSING_MS
    const { stoppedAt } = slot
    const isLateInStop = stoppedAt !== undefined && sentAt - stoppedAt <= STOP_NOTICE_MS && now - stoppedAt >= STOP_SHARE * GRACE_MS
    // A process that has been replaced meanwhile was killed, or had stopped.
    const isExcused = hasCrossed || isLateInStop || tookMs > TIMEOUT_SHARE * limitMs || runs.some(run => run.isBroken) ||
      !this.trouble.isCalm(slot.index, sentAt)
    if (!isAnswered && isExcused) return
    this.checks.check('answered', isAnswered, () =>
      `${call.id} on ${call.path} at gateway-${slot.index} ended with ${response.status} after ${Math.round(tookMs)} ms, runs: ${runs.length}` +
      (stoppedAt === undefined ? '' : `, ${Math.round(now - stoppedAt)} ms after SIGTERM`))
  }

  /** Checks that targets that leave get nothing new, and records which notices a gateway has passed on. */
  private _checkLeaving (id: string, slot: GatewaySlot, gateway: GatewayProcess, sentAt: number): void {
    for (const standin of this.targets) {
      const run = standin.runs.findLast(other => other.id === id)
      if (run === undefined) continue
      const noticeAt = slot.process === gateway ? slot.noticesAt.get(standin.id) : undefined
      const rowAt = this._leavingAt.get(standin.id)
      const isInTouch = this.trouble.isCalm(slot.index, sentAt)
      const isAfter = (leftAt: number | undefined): boolean => leftAt !== undefined && sentAt > leftAt + DRAIN_MS
      const isLate = isAfter(noticeAt) || (isAfter(rowAt) && isInTouch)
      const place = noticeAt === undefined ? 'in the store' : 'in a response'
      this.checks.check('leaving', !isLate, () =>
        `${id} ran at ${standin.id}, sent ${Math.round(sentAt - (noticeAt ?? rowAt!))} ms after its notice ${place}`)
      const isNotice = standin.extraHeaders['server-leaving'] !== undefined
      if (isNotice && slot.process === gateway && noticeAt === undefined) slot.noticesAt.set(standin.id, performance.now())
    }
  }

  private async _launch (slot: GatewaySlot): Promise<void> {
    const { storeAddress, graceLine } = slot
    const id = `gateway-${slot.index}`
    const gateway = await GatewayProcess.launch({ id, storeAddress, graceLine, heapMb: HEAP_MB, extraSettings: QUOTA_SETTINGS })
    slot.process = gateway
    slot.stoppedAt = undefined
    slot.isEnding = false
    slot.noticesAt.clear()
    void gateway.waitForExit().then(async code => {
      const isExpected = slot.isEnding || this.isOver
      this.checks.check('alive', isExpected, () => `gateway-${slot.index} ended with ${code}: ${gateway.lines.slice(-3).join(' | ')}`)
      if (!slot.isEnding && !this.isOver && slot.process === gateway) await this.replace(slot, 'SIGKILL')
    })
  }

  private async _end (slot: GatewaySlot): Promise<void> {
    const gateway = slot.process
    if (gateway === undefined) return
    slot.process = undefined
    await gateway.kill()
    this.lines.push(...gateway.lines)
  }

  /** Ends gateways that exceed their memory, as a deployment does. */
  private async _watchMemory (): Promise<void> {
    while (!this.isOver) {
      await sleep(MEMORY_INTERVAL_MS)
      for (const slot of this.slots) {
        const mb = slot.isEnding ? undefined : slot.process?.getResidentMb()
        if (mb === undefined) continue
        this.checks.check('memory', mb <= MEMORY_LIMIT_MB, () => `gateway-${slot.index} used ${Math.round(mb)} MB of ${MEMORY_LIMIT_MB} MB`)
        if (mb > MEMORY_LIMIT_MB) void this.replace(slot, 'SIGKILL')
      }
    }
  }
}
