import { setTimeout as sleep } from 'node:timers/promises'
import { Random } from '../measure/Random.js'
import { GatewayProcess } from '../platform/GatewayProcess.js'
import { PlatformFixture } from '../platform/PlatformFixture.js'
import { FaultProxy } from './FaultProxy.js'
import { PromiseChecks } from './Promises.js'
import { SoakCallers } from './SoakCallers.js'
import { planSoak, type SoakFault } from './SoakPlan.js'

/** Model engines, half of each software version, and plain services. */
const ENGINES = 4
const DESKS = 3

/** Milliseconds between two events of a stream; most faults meet streams in progress. */
const EVENT_GAP_MS = 60

/** Milliseconds before a killed gateway is started again. */
const DOWN_MS = 400

/** Milliseconds after the last fault in which a late run of a refused request would show. */
const SETTLE_MS = 1_500

/** Grace period of gateways that are told to stop, in milliseconds. */
const GRACE_MS = 3_000

/** Options of {@link Soak}. */
export interface SoakOptions {
  readonly seed: number
  readonly durationMs: number
  readonly gateways?: number
  readonly callersOfEachKind?: number
}

/** Runs gateway processes before stand-ins, injects planned faults from outside, and checks what callers and targets see. */
export class Soak {
  readonly checks = new PromiseChecks()
  readonly faults: SoakFault[]
  private readonly _options: Required<SoakOptions>
  private readonly _fixture = new PlatformFixture()
  private readonly _proxies: FaultProxy[] = []
  private readonly _addresses: string[] = []
  private readonly _gateways: Array<GatewayProcess | undefined> = []
  private readonly _lines: string[] = []
  private readonly _random: Random

  constructor (options: SoakOptions) {
    this._options = { gateways: 3, callersOfEachKind: 4, ...options }
    const { seed, durationMs, gateways } = this._options
    this._random = new Random(seed + 1)
    this.faults = planSoak({ seed, durationMs, gateways, targets: ENGINES + DESKS })
  }

  /** Runs the soak to its end; returns the details of broken promises. */
  async run (): Promise<string[]> {
    await this._start()
    const callers = new SoakCallers({
      fixture: this._fixture, random: this._random, checks: this.checks, getAddress: () => this._getAddress()
    })
    const running = callers.run(this._options.callersOfEachKind)
    try {
      await this._inject()
      await sleep(SETTLE_MS)
    } finally {
      callers.stop()
      await running
      await Promise.all(this._gateways.map(async gateway => { await this._end(gateway) }))
      for (const proxy of this._proxies) proxy.close()
      this._fixture.close()
    }
    callers.checkRuns()
    return this.checks.getBroken()
  }

  /** Gets the log lines of all gateways, those that were killed included. */
  getLogLines (): string[] {
    return this._lines
  }

  private async _start (): Promise<void> {
    const { gateways } = this._options
    await this._fixture.start({ engines: ENGINES, desks: DESKS })
    for (const [at, engine] of this._fixture.engines.entries()) {
      this._fixture.setEngineVersion(engine, at < ENGINES / 2 ? 'v1' : 'v2')
      engine.eventGapMs = EVENT_GAP_MS
    }
    for (let at = 0; at < gateways; at++) {
      const proxy = new FaultProxy(this._fixture.storeAddress)
      this._proxies.push(proxy)
      this._addresses.push(await proxy.start())
    }
    await Promise.all(this._addresses.map(async (_, at) => { await this._launch(at) }))
    await Promise.all(this._gateways.map(async gateway => { await gateway!.waitUntilReady() }))
  }

  /** Injects the faults at their times; those that last overlap with the next ones. */
  private async _inject (): Promise<void> {
    const startedAt = performance.now()
    const lasting: Array<Promise<void>> = []
    for (const fault of this.faults) {
      await sleep(Math.max(0, startedAt + fault.at - performance.now()))
      lasting.push(this._apply(fault))
    }
    await Promise.all(lasting)
  }

  private async _apply (fault: SoakFault): Promise<void> {
    const { rows } = this._fixture.store
    const targets = [...this._fixture.engines, ...this._fixture.desks]
    if (fault.type === 'kill') await this._replace(fault.gateway, fault.signal)
    else if (fault.type === 'kill-all') await Promise.all(this._gateways.map(async (_, at) => { await this._replace(at, 'SIGKILL') }))
    else if (fault.type === 'reload') this._gateways[fault.gateway]?.signal('SIGHUP')
    else if (fault.type === 'target') targets[fault.target]!.nextBehaviours.push(fault.behaviour)
    else if (fault.type === 'pause') {
      const gateway = this._gateways[fault.gateway]
      gateway?.signal('SIGSTOP')
      await sleep(fault.forMs)
      gateway?.signal('SIGCONT')
    } else if (fault.type === 'store') {
      rows.failure = fault.failure
      await sleep(fault.forMs)
      rows.failure = undefined
    } else if (fault.type === 'link') {
      this._proxies[fault.gateway]!.setMode(fault.mode)
      await sleep(fault.forMs)
      this._proxies[fault.gateway]!.setMode('open')
    } else await this._leave(fault.target, fault.forMs)
  }

  /** Removes the registration of a target for a while. */
  private async _leave (at: number, forMs: number): Promise<void> {
    const standin = [...this._fixture.engines, ...this._fixture.desks][at]!
    this._fixture.unregister(standin)
    await sleep(forMs)
    this._fixture.register(standin)
  }

  /** Ends a gateway by a signal and starts the next process of the same id. */
  private async _replace (at: number, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const gateway = this._gateways[at]
    if (gateway === undefined) return
    this._gateways[at] = undefined
    gateway.signal(signal)
    // A paused process receives the signal when it runs again.
    gateway.signal('SIGCONT')
    await gateway.waitForExit()
    await this._end(gateway)
    await sleep(DOWN_MS)
    await this._launch(at)
  }

  private async _launch (at: number): Promise<void> {
    this._gateways[at] = await GatewayProcess.launch({ id: `gateway-${at}`, storeAddress: this._addresses[at]!, graceMs: GRACE_MS })
  }

  private async _end (gateway: GatewayProcess | undefined): Promise<void> {
    if (gateway === undefined) return
    await gateway.kill()
    this._lines.push(...gateway.lines)
  }

  /** Gets the address of a random gateway, whether it is ready or not. */
  private _getAddress (): string | undefined {
    const running = this._gateways.filter(gateway => gateway !== undefined)
    return running.length === 0 ? undefined : running[this._random.int(0, running.length - 1)]!.callerAddress
  }
}
