import { RetryBudget } from '../../src/core/limits/index.js'
import type { Instance } from '../../src/core/platform/index.js'
import { FakeEntry } from './FakeEntry.js'
import { FakeSidecar } from './FakeSidecar.js'
import { FakeTable } from './FakeTable.js'
import { FakeTarget } from './FakeTarget.js'
import { Scheduler } from './Scheduler.js'
import { ScriptedCaller, type Step } from './ScriptedCaller.js'

/** A fault that can be injected before any action. */
export const Fault = {
  KillEntry: 'kill-entry',
  KillSidecar: 'kill-sidecar',
  FreezeEntry: 'freeze-entry',
  CutLink: 'cut-link',
  Outage: 'outage',
  LoseResponse: 'lose-answer',
  LateArrival: 'late-arrival',
  CrashTarget: 'crash-target'
} as const
export type Fault = typeof Fault[keyof typeof Fault]

/** A fault, the action before which it is injected, and the process that it affects. */
export interface PlannedFault {
  readonly fault: Fault
  /** Number of the action before which the fault is injected. */
  readonly at: number
  /** Index of the affected process, modulo the number of processes. */
  readonly where: number
}

/** A fault that is injected right after an effect, into the entry that performed it or the target that the effect names. */
export interface FaultAfterEffect {
  readonly fault: Fault
  /** Substring of the effect's line in the transcript. */
  readonly effect: string
}

/** Matches the target that a line of the transcript names. */
const TARGET_IN_EFFECT = /(?: to | at )([a-z]+-\d+)/
/** Milliseconds for which an entry is frozen: longer than tickets are valid and deadlines last. */
const FREEZE_MS = 30_000
const OUTAGE_MS = 15_000
const LINK_CUT_MS = 6_000
const RESTART_MS = 500

/** Time limit for the completion of every script, in milliseconds. */
export const SCRIPT_LIMIT_MS = 900_000

/** Time after the last session has ended within which engines must have released all holds, in milliseconds. */
export const HOLD_LIMIT_MS = 90_000

/** A deterministic simulation: fake entries, sidecars, targets and a fake store around the real core. */
export class Simulation {
  readonly scheduler: Scheduler
  readonly table: FakeTable
  readonly sidecars = new Map<string, FakeSidecar>()
  readonly transcript: string[] = []
  readonly callers: ScriptedCaller[] = []
  /** Called for each call that a caller sends. */
  onCall: () => void = () => {}
  retryBudget = new RetryBudget({ share: 1, reserve: 100, initial: 100 })
  private readonly _entries: FakeEntry[] = []
  private readonly _instances: Instance[] = []
  private readonly _cutLinks = new Set<string>()
  private _entryCount = 0
  private _faultsAfterEffects: FaultAfterEffect[] = []
  private _pendingInjections: Array<() => void> = []

  constructor (seed?: number) {
    this.scheduler = new Scheduler(seed)
    this.table = new FakeTable(this.scheduler)
    for (const id of ['ratgeber-1', 'ratgeber-2', 'ratgeber-3', 'kanzlei-1', 'kanzlei-2']) this._addTarget(id)
    this.startEntry()
    this.startEntry()
  }

  get targets (): FakeTarget[] {
    return [...this.sidecars.values()].map(sidecar => sidecar.target)
  }

  get entries (): readonly FakeEntry[] {
    return this._entries
  }

  addCaller (workspace: string, script: readonly Step[]): ScriptedCaller {
    const caller = new ScriptedCaller(workspace, script, this)
    this.callers.push(caller)
    return caller
  }

  startEntry (): FakeEntry {
    const entry = new FakeEntry(`entry-${++this._entryCount}`, {
      scheduler: this.scheduler,
      table: this.table,
      sidecars: this.sidecars,
      getRetryBudget: () => this.retryBudget,
      log: (actor, line) => { this._addToTranscript(actor, line) },
      isConnected: (a, b) => !this._cutLinks.has(`${a}|${b}`)
    }, this._instances)
    this._entries.push(entry)
    return entry
  }

  pickEntry (index: number): FakeEntry | undefined {
    const activeEntries = this._entries.filter(entry => this.scheduler.isActive(entry.id))
    return activeEntries[index % activeEntries.length]
  }

  /** Runs every script under faults, then waits until leases have expired; returns whether every script was completed in time. */
  run (faults: readonly PlannedFault[] = []): boolean {
    this.scheduler.onAction = count => {
      for (const inject of this._pendingInjections.splice(0)) inject()
      for (const planned of faults) if (planned.at === count) this.inject(planned)
    }
    for (const caller of this.callers) caller.start()
    const hasEnded = this.scheduler.runUntil(() => this.callers.every(caller => caller.isDone()), SCRIPT_LIMIT_MS)
    this.scheduler.runUntil(() => false, HOLD_LIMIT_MS)
    return hasEnded
  }

  /** Plans a fault right after an effect. */
  injectAfter (planned: FaultAfterEffect): void {
    this._faultsAfterEffects.push(planned)
  }

  /** Injects a fault; its index selects the entry and the sidecar that it can affect. */
  inject ({ fault, where }: PlannedFault): void {
    const activeEntries = this._entries.filter(entry => this.scheduler.isActive(entry.id))
    this._injectFault(
      fault, activeEntries[where % Math.max(1, activeEntries.length)]?.id, [...this.sidecars.keys()][where % this.sidecars.size]
    )
  }

  private _injectFault (fault: Fault, entryId: string | undefined, sidecarId: string | undefined): void {
    this.transcript.push(`       *** ${fault}`)
    const entry = this._entries.find(candidate => candidate.id === entryId)
    const sidecar = this.sidecars.get(sidecarId ?? '')
    if (fault === Fault.KillEntry && entry !== undefined) this.killEntry(entry)
    else if (fault === Fault.FreezeEntry && entry !== undefined) this.freezeEntry(entry)
    else if (fault === Fault.CutLink && entry !== undefined && sidecar !== undefined) this._cutLink(entry.id, sidecar.id)
    else if (fault === Fault.KillSidecar) sidecar?.restart()
    else if (fault === Fault.CrashTarget && sidecar !== undefined) this._crashTarget(sidecar)
    else if (fault === Fault.Outage) this._startOutage()
    else if (fault === Fault.LoseResponse) this.table.lostResponses.add(this.table.commits + 1)
    else if (fault === Fault.LateArrival) this.table.lateArrivals.add(this.table.commits + 1)
  }

  killEntry (entry: FakeEntry): void {
    this.scheduler.kill(entry.id)
    this.scheduler.addTimer('platform', RESTART_MS, () => { this.startEntry() })
  }

  freezeEntry (entry: FakeEntry, ms = FREEZE_MS): void {
    this.scheduler.freeze(entry.id)
    this.scheduler.addTimer('platform', ms, () => { this.scheduler.thaw(entry.id) })
    this.scheduler.addTimer('platform', RESTART_MS, () => { this.startEntry() })
  }

  private _addToTranscript (actor: string, line: string): void {
    this.transcript.push(`${String(this.scheduler.clock.now() - 1_000_000).padStart(6)} ${actor} ${line}`)
    const planned = this._faultsAfterEffects.find(candidate => line.includes(candidate.effect))
    if (planned === undefined) return
    this._faultsAfterEffects = this._faultsAfterEffects.filter(candidate => candidate !== planned)
    this._pendingInjections.push(() => { this._injectFault(planned.fault, actor, TARGET_IN_EFFECT.exec(line)?.[1]) })
  }

  private _addTarget (id: string): void {
    const service = id.slice(0, id.indexOf('-'))
    this.sidecars.set(id, new FakeSidecar(id, new FakeTarget(id), this.scheduler))
    this._instances.push({ id, role: 'target', service, region: 'zentral', failureDomain: 'luzern', url: id, state: 'live' })
  }

  private _cutLink (entry: string, target: string): void {
    this._cutLinks.add(`${entry}|${target}`)
    this.scheduler.addTimer('platform', LINK_CUT_MS, () => { this._cutLinks.delete(`${entry}|${target}`) })
  }

  private _crashTarget (sidecar: FakeSidecar): void {
    sidecar.target.isUp = false
    sidecar.target.holds.clear()
    this.scheduler.addTimer('platform', RESTART_MS, () => { sidecar.target.isUp = true })
  }

  private _startOutage (): void {
    this.table.isDown = true
    this.scheduler.addTimer('platform', OUTAGE_MS, () => { this.table.isDown = false })
  }
}
