import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { AgeClock, Clock } from '../../../src/core/clock/index.js'
import type { Peer } from '../../../src/core/peer/index.js'
import { QuotaDebts, QuotaHolder, QuotaHolders, type QuotaLoan, type QuotaRequest, type QuotaTolerance, type VersionedQuota } from '../../../src/core/quota/index.js'
import type { Quota } from '../../../src/core/workspace/index.js'
import { GatewayMetrics, QuotaGate } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'

const REGIONS = { a: 'north', b: 'north', c: 'north', d: 'south', e: 'south', f: 'south' }
const DOMAINS = Object.keys(REGIONS) as Array<keyof typeof REGIONS>
const CALL_TIMEOUT_MS = 200
const SETTLE_MS = 1_000
const PROGRAM_TURNS = 4
/** Turns, each followed by 0 to 4 calls of tools. */
const MEAN_PROGRAM_REQUESTS = PROGRAM_TURNS * 3
const metrics = new GatewayMetrics()
const log = new DecisionLog({ process: 'test', id: 'quota', isSilent: true })

interface Step { readonly at: number, readonly gateway: Gateway | undefined, readonly run: number, readonly act: () => void }

/** One gateway of a {@link QuotaWorld}; `run` counts its processes. */
interface Gateway {
  readonly id: string
  readonly domain: keyof typeof REGIONS
  run: number
  frozenUntil: number
  /** Milliseconds by which its steady clock is behind the world's. */
  lostMs: number
  isCutFromStore: boolean
  isCutFromPeers: boolean
  isWriting: boolean
  config: VersionedQuota
  holders: QuotaHolders
  holder: QuotaHolder
  gate: QuotaGate
}

/** Gateways, links, the store's list of gateways and callers on a virtual clock. */
export class QuotaWorld {
  now = 0
  readonly sentAt: number[] = []
  readonly admittedAt: number[] = []
  readonly counts = { admitted: 0, exceeded: 0, unavailable: 0, refusedWithin: 0, calls: 0, farCalls: 0 }
  readonly meanRequestsOfProgram = MEAN_PROGRAM_REQUESTS
  readonly programs = { begun: 0, refused: 0, lost: 0 }
  readonly waits: number[] = []
  readonly gateways: Gateway[] = []
  readonly rows: Peer[] = []
  readonly debtRows = new Map<string, ReadonlyMap<string, number>>()
  debtWrites = 0
  private readonly _random: () => number
  private readonly _loadRandom: () => number
  private readonly _slowness: number
  private readonly _tolerance: QuotaTolerance | undefined
  /** Calls that have failed, after which none is sent for a while, as by PeerPool. */
  private readonly _failures = new Map<string, { until: number, backoffMs: number }>()
  private _steps: Step[] = []

  /** @param slowness - Exponent by which delays beyond the distance are rarer the larger it is; they reach 150 ms. */
  constructor (seed: number, slowness = 8, tolerance?: QuotaTolerance) {
    this._slowness = slowness
    this._tolerance = tolerance
    this._random = createRandom(seed)
    this._loadRandom = createRandom(seed + 1)
    // The first numbers of small seeds are alike.
    for (let count = 0; count < 20; count++) this._loadRandom()
  }

  random (): number { return this._random() }

  /** Schedules an act of the world, or of one process of a gateway, which is dropped with the process and waits while it is frozen. */
  at (time: number, act: () => void, gateway?: Gateway): void {
    const step = { at: time, gateway, run: gateway?.run ?? 0, act }
    let low = 0
    let high = this._steps.length
    while (low < high) {
      const middle = (low + high) >> 1
      // Sorted by descending time, so that the next step is the last one.
      if (this._steps[middle]!.at > time) low = middle + 1
      else high = middle
    }
    this._steps.splice(low, 0, step)
  }

  async runUntil (end: number): Promise<void> {
    while (this._steps.length > 0 && this._steps.at(-1)!.at <= end) {
      const { at, gateway, run, act } = this._steps.pop()!
      this.now = Math.max(this.now, at)
      if (gateway !== undefined && run !== gateway.run) continue
      if (gateway !== undefined && gateway.frozenUntil > this.now) {
        this.at(gateway.frozenUntil, act, gateway)
        continue
      }
      act()
      await new Promise(resolve => { setImmediate(resolve) })
    }
    this.now = end
  }

  add (config: VersionedQuota): Gateway {
    const index = this.gateways.length
    const gateway = { id: `g${index}`, domain: DOMAINS[index % 6]!, run: 0, frozenUntil: 0, lostMs: 0, isCutFromStore: false, isCutFromPeers: false, config } as unknown as Gateway
    this.gateways.push(gateway)
    this.start(gateway)
    return gateway
  }

  /** Starts the gateway's process, or a new one in place of the last. */
  start (gateway: Gateway): void {
    gateway.run++
    gateway.isWriting = false
    const offset = this._random() * 1e6 - this.now
    const { id, domain: localDomain } = gateway
    const clock = new WorldClock(() => this.now - gateway.lostMs + offset)
    const ages = new AgeClock(clock, new WorldClock(() => this.now + 5e8))
    const holders = new QuotaHolders({ clock, ages, localId: id, localDomain, regions: REGIONS })
    gateway.holders = holders
    const debts = new QuotaDebts(() => { this._writeDebts(gateway, debts, clock) })
    this._readDebts(gateway, debts, clock)
    gateway.holder = new QuotaHolder({ clock, holders, getQuota: () => gateway.config, tolerance: this._tolerance, debts })
    const request = async (holder: string, req: QuotaRequest): Promise<QuotaLoan | undefined> => await this._request(gateway, holder, req)
    const sleep = async (ms: number): Promise<void> => { await new Promise<void>(resolve => { this.at(this.now + ms, resolve, gateway) }) }
    gateway.gate = new QuotaGate({ clock, ages, log, metrics, holders, request, random: this._random, sleep })
    if (!this.rows.some(row => row.id === id)) this.rows.push({ id, address: 'h:1', failureDomain: localDomain, firstSeenAt: Infinity })
    this._read(gateway, ages)
    this.at(this.now + SETTLE_MS, () => { this._date(gateway, ages) }, gateway)
  }

  /** Ends the gateway's process; another one starts after some time. */
  restart (gateway: Gateway, downMs: number): void {
    gateway.run++
    gateway.frozenUntil = Infinity
    this.at(this.now + downMs, () => {
      gateway.frozenUntil = 0
      this.start(gateway)
    })
  }

  /** Freezes a gateway's process for a while, in which its steady clock goes on or not. */
  freeze (gateway: Gateway, ms: number, isCounted: boolean): void {
    if (gateway.frozenUntil > this.now) return
    gateway.frozenUntil = this.now + ms
    const { run } = gateway
    if (!isCounted) this.at(gateway.frozenUntil - 0.001, () => { if (run === gateway.run) gateway.lostMs += ms })
  }

  /** Lets callers send requests to a gateway at a mean rate, some at once each time, from now until `end`. */
  load (gateway: Gateway, getPerSecond: () => number, end: number, atOnce = 1, inProgressShare = 0): void {
    const gapMs = -Math.log(1 - this._random()) / Math.max(0.01, getPerSecond() / atOnce) * 1_000
    const time = this.now + gapMs
    if (time > end) return
    this.at(time, () => {
      this.load(gateway, getPerSecond, end, atOnce, inProgressShare)
      const isInProgress = inProgressShare > 0 && this._loadRandom() < inProgressShare
      for (let count = 0; count < atOnce; count++) if (gateway.frozenUntil <= this.now) void this.send(gateway, isInProgress)
    })
  }

  /**
   * Starts programs at a mean rate, from now until `end`: turns, each followed by calls of up to four tools at once.
   *
   * Each request reaches any gateway of a region. A refused request ends its program.
   */
  loadPrograms (getPerSecond: () => number, end: number): void {
    const gapMs = -Math.log(1 - this._loadRandom()) / getPerSecond() * 1_000
    if (this.now + gapMs > end) return
    // Drawn here, so that a program is the same whatever happened to others.
    const region = this._loadRandom() < 0.5 ? 'north' : 'south'
    const steps = Array.from({ length: PROGRAM_TURNS }, () => [1, Math.floor(this._loadRandom() * 5)]).flat()
    const draws = Array.from({ length: 10 * PROGRAM_TURNS }, () => this._loadRandom())
    this.at(this.now + gapMs, () => {
      this.loadPrograms(getPerSecond, end)
      void this._runProgram(this.gateways.filter(({ domain }) => REGIONS[domain] === region), steps, draws)
    })
  }

  private async _runProgram (gateways: readonly Gateway[], steps: readonly number[], draws: number[]): Promise<void> {
    this.programs.begun++
    for (const [step, atOnce] of steps.entries()) {
      const admitted = await Promise.all(Array.from({ length: atOnce }, async () => {
        return await this.send(gateways[Math.floor(draws.pop()! * gateways.length)]!, step > 0)
      }))
      if (admitted.includes(false)) {
        this.programs[step === 0 ? 'refused' : 'lost']++
        return
      }
      const pauseMs = 100 + draws.pop()! * 500
      await new Promise<void>(resolve => { this.at(this.now + pauseMs, resolve) })
    }
  }

  /** Sends a request; resolves to true if it is admitted. */
  async send (gateway: Gateway, isInProgress = false): Promise<boolean> {
    const { run, config: { quota, version }, gate } = gateway
    const sentAt = this.now
    this.sentAt.push(sentAt)
    const isWithin = quota !== undefined && this.sentAt.filter(at => at > sentAt - 5_000).length <= quota.perSecond * 5 + quota.burst
    const { type } = await gate.admit({ name: 'shop', quota }, version, { remainingMs: 1_500, isInProgress })
    if (run !== gateway.run) return false
    this.counts[type]++
    if (type !== 'admitted') {
      if (isWithin) this.counts.refusedWithin++
      return false
    }
    this.admittedAt.push(this.now)
    this.waits.push(this.now - sentAt)
    return true
  }

  /** Gets how far the admitted requests exceed the bound in any window of 5 s that begins in a span of time; at most 0 if they keep it. */
  getExcess ({ perSecond, burst }: Quota, from = -Infinity, to = Infinity): number {
    const times = this.admittedAt.filter(time => time >= from)
    let first = 0
    let most = 0
    times.forEach((time, index) => {
      while (time - times[first]! >= 5_000) first++
      if (times[first]! <= to) most = Math.max(most, index - first + 1)
    })
    return most - ((perSecond * 5 + burst) * 1.1 + 20)
  }

  /** Dates the registration of a gateway, again if it was frozen between its read of the time and the write. */
  private _date (gateway: Gateway, ages: AgeClock): void {
    const index = this.rows.findIndex(({ id, firstSeenAt }) => id === gateway.id && firstSeenAt === Infinity)
    const [startedAt, firstSeenAt] = [ages.mark(), this.now]
    const write = (): void => {
      if (gateway.isCutFromStore || ages.getAgeMs(startedAt) > 1_000) this._date(gateway, ages)
      else this.rows[index] = { ...this.rows[index]!, firstSeenAt }
    }
    if (index >= 0) this.at(this.now + 20, write, gateway)
  }

  private _read (gateway: Gateway, ages: AgeClock, isFirst = true): void {
    const startedAt = ages.mark()
    const latency = 4 + this._random() * 20
    const { isCutFromStore } = gateway
    this.at(this.now + latency / 2, () => {
      const rows = [...this.rows]
      const storeTime = this.now
      this.at(this.now + latency / 2, () => {
        if (isCutFromStore) gateway.holders.recordFailure(startedAt)
        else gateway.holders.setPeers(rows, startedAt, storeTime)
        const waitMs = isCutFromStore ? 500 : isFirst ? SETTLE_MS : gateway.holders.getReadDelayMs()
        this.at(this.now + waitMs, () => { this._read(gateway, ages, false) }, gateway)
      }, gateway)
    })
  }

  private _readDebts (gateway: Gateway, debts: QuotaDebts, clock: Clock): void {
    this.at(this.now + 4 + this._random() * 20, () => {
      if (gateway.isCutFromStore) this._readDebts(gateway, debts, clock)
      else debts.open(this.debtRows.get(gateway.id) ?? new Map(), clock.now())
    }, gateway)
  }

  private _writeDebts (gateway: Gateway, debts: QuotaDebts, clock: Clock): void {
    if (gateway.isWriting) return
    const rows = debts.beginWrite(clock.now())
    if (rows === undefined) return
    gateway.isWriting = true
    this.debtWrites++
    const latency = 4 + this._random() * 20
    const { isCutFromStore } = gateway
    // A write takes effect also if its gateway has died meanwhile.
    this.at(this.now + latency / 2, () => { if (!isCutFromStore) this.debtRows.set(gateway.id, rows) })
    this.at(this.now + latency, () => {
      gateway.isWriting = false
      if (!isCutFromStore) debts.endWrite(rows)
      this.at(this.now + 100, () => { this._writeDebts(gateway, debts, clock) }, gateway)
    }, gateway)
  }

  private async _request (from: Gateway, holderId: string, req: QuotaRequest): Promise<QuotaLoan | undefined> {
    const to = this.gateways.find(({ id }) => id === holderId)!
    if (to === from) return to.holder.lend(req)
    const isFar = REGIONS[from.domain] !== REGIONS[to.domain]
    const failure = this._failures.get(`${from.id}/${to.id}`)
    const isCut = from.isCutFromPeers || to.isCutFromPeers
    if (isCut && failure !== undefined && this.now < failure.until) return undefined
    this.counts.calls++
    if (isFar) this.counts.farCalls++
    const getLatency = (): number => (isFar ? 12 : 0.7) + this._random() ** this._slowness * 150
    return await new Promise(resolve => {
      this.at(this.now + CALL_TIMEOUT_MS, () => {
        const backoffMs = Math.min(30_000, 2 * (failure?.backoffMs ?? 500))
        if (isCut) this._failures.set(`${from.id}/${to.id}`, { until: this.now + backoffMs, backoffMs })
        resolve(undefined)
      }, from)
      if (isCut) return
      this.at(this.now + getLatency(), () => {
        const loan = to.holder.lend(req)
        if (!to.isCutFromPeers) this.at(this.now + getLatency(), () => { resolve(loan) }, from)
      }, to)
    })
  }
}

function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}

class WorldClock extends Clock {
  private readonly _get: () => number

  constructor (get: () => number) {
    super()
    this._get = get
  }

  now (): number { return this._get() }
}
