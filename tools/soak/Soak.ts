import { setTimeout as sleep } from 'node:timers/promises'
import { Random } from '../measure/Random.js'
import { createDisturbance } from './disturbances/index.js'
import { SoakCallers } from './SoakCallers.js'
import { planSoak, type SoakFault, type SoakFaultName } from './SoakPlan.js'
import { SoakWorld } from './SoakWorld.js'

/** Milliseconds after the last fault in which a late run of a refused request would show. */
const SETTLE_MS = 1_500

/** Number of targets that plans know. */
const TARGETS = 9

/** Options of {@link Soak}. */
export interface SoakOptions {
  readonly seed: number
  readonly durationMs: number
  readonly gateways?: number
  readonly callersOfEachKind?: number
  /** Faults of the plan; all by default. */
  readonly only?: readonly SoakFaultName[]
}

/** Runs gateway processes before stand-ins, injects planned faults from outside, and checks what callers and targets see. */
export class Soak {
  readonly faults: SoakFault[]
  private readonly _options: SoakOptions & { readonly gateways: number, readonly callersOfEachKind: number }
  private readonly _world: SoakWorld

  constructor (options: SoakOptions) {
    this._options = { gateways: 3, callersOfEachKind: 4, ...options }
    const { seed, durationMs, gateways, only } = this._options
    this.faults = planSoak({ seed, durationMs, gateways, targets: TARGETS, only })
    this._world = new SoakWorld(seed + 1, this.faults.some(({ type }) => type === 'removed-keys' || type === 'hot-workspace'))
  }

  /** Gets what was checked. */
  get checks () {
    return this._world.checks
  }

  /** Runs the soak to its end; returns the details of broken promises. */
  async run (): Promise<string[]> {
    const world = this._world
    await world.start(this._options.gateways)
    const callers = new SoakCallers({ world, random: new Random(this._options.seed + 3) })
    const running = callers.run(this._options.callersOfEachKind)
    try {
      await this._inject()
      await sleep(SETTLE_MS)
    } finally {
      callers.stop()
      await running
      await world.close()
    }
    world.checkRuns()
    return world.checks.getBroken()
  }

  /** Gets the log lines of all gateways, those that were killed included. */
  getLogLines (): string[] {
    return this._world.lines
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
    const { fixture: { store: { rows } }, slots, targets, trouble } = this._world
    if (fault.type === 'kill') await this._world.replace(slots[fault.gateway]!, fault.signal)
    else if (fault.type === 'kill-all') await Promise.all(slots.map(async slot => { await this._world.replace(slot, 'SIGKILL') }))
    else if (fault.type === 'reload') this._world.changeSettings(slots[fault.gateway]!, Math.floor(fault.at))
    else if (fault.type === 'target') targets[fault.target]!.nextBehaviours.push(fault.behaviour)
    else if (fault.type === 'pause') await this._world.pause(slots[fault.gateway]!, fault.forMs)
    else if (fault.type === 'store') {
      const end = trouble.begin()
      rows.failure = fault.failure
      await sleep(fault.forMs)
      rows.failure = undefined
      end()
    } else if (fault.type === 'link') {
      const end = trouble.begin(fault.gateway)
      slots[fault.gateway]!.proxy.setMode(fault.mode)
      await sleep(fault.forMs)
      slots[fault.gateway]!.proxy.setMode('open')
      end()
    } else if (fault.type === 'leave') await this._leave(fault.target, fault.forMs)
    else await createDisturbance(fault.type, { world: this._world, random: new Random(fault.seed) }).play()
  }

  /** Removes the registration of a target for a while. */
  private async _leave (at: number, forMs: number): Promise<void> {
    const standin = this._world.targets[at]!
    this._world.fixture.unregister(standin)
    this._world.setLeaving(standin, true)
    await sleep(forMs)
    this._world.setLeaving(standin, false)
    this._world.fixture.register(standin)
  }
}
