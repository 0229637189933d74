import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { ManualClock } from '../../src/core/clock/index.js'

/** The next action of one process. */
interface Action {
  /** Process that runs the action; a frozen process runs it after it is thawed, a dead one never. */
  readonly actor: string
  readonly run: () => void
}

interface Timer extends Action {
  readonly dueAt: number
  readonly id: number
}

/** Runs the actions of all processes one at a time: in the order in which they became ready, or in a seeded random order. */
export class Scheduler {
  readonly clock = new ManualClock(1_000_000)
  private readonly _ready: Action[] = []
  private _timers: Timer[] = []
  private readonly _frozen = new Set<string>()
  private readonly _dead = new Set<string>()
  private readonly _pickIndex: (size: number) => number
  private _nextId = 1
  /** Number of actions run until now. */
  actionCount = 0
  /** Called before each action, to inject faults. */
  onAction: (count: number) => void = () => {}

  /** @param seed - Seed of the random order; if undefined, actions run in the order in which they became ready. */
  constructor (seed?: number) {
    const random = xoroshiro128plus(seed ?? 0)
    this._pickIndex = seed === undefined ? () => 0 : size => uniformInt(random, 0, size - 1)
  }

  add (actor: string, run: () => void): void {
    this._ready.push({ actor, run })
  }

  addTimer (actor: string, ms: number, run: () => void): void {
    this._timers.push({ actor, run, dueAt: this.clock.now() + ms, id: this._nextId++ })
  }

  kill (actor: string): void {
    this._dead.add(actor)
  }

  freeze (actor: string): void {
    this._frozen.add(actor)
  }

  thaw (actor: string): void {
    this._frozen.delete(actor)
  }

  isActive (actor: string): boolean {
    return !this._dead.has(actor) && !this._frozen.has(actor)
  }

  isDead (actor: string): boolean {
    return this._dead.has(actor)
  }

  /** Runs until a condition holds or a time limit has passed; returns whether the condition holds. */
  runUntil (isDone: () => boolean, limitMs: number): boolean {
    const endAt = this.clock.now() + limitMs
    while (!isDone()) {
      if (this._runReadyAction()) continue
      if (!this._advanceClock(endAt)) return isDone()
    }
    return true
  }

  private _runReadyAction (): boolean {
    const eligible = this._ready.filter(action => this.isActive(action.actor))
    if (eligible.length === 0) return false
    const action = eligible[this._pickIndex(eligible.length)]!
    this._ready.splice(this._ready.indexOf(action), 1)
    this.actionCount++
    this.onAction(this.actionCount)
    if (this.isActive(action.actor)) action.run()
    else if (!this._dead.has(action.actor)) this._ready.unshift(action)
    return true
  }

  /** Advances the clock to the next timer; a timer of a frozen process runs after the process is thawed. */
  private _advanceClock (endAt: number): boolean {
    this._timers = this._timers.filter(timer => !this._dead.has(timer.actor))
    const nextTimer = this._timers.filter(timer => !this._frozen.has(timer.actor)).sort((a, b) => a.dueAt - b.dueAt || a.id - b.id)[0]
    if (nextTimer === undefined || nextTimer.dueAt > endAt) {
      this.clock.advanceTo(endAt)
      return false
    }
    this.clock.advanceTo(nextTimer.dueAt)
    this._timers.splice(this._timers.indexOf(nextTimer), 1)
    this._ready.push(nextTimer)
    return true
  }
}
