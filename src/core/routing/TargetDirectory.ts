import { InstanceRole, InstanceState, type Instance } from '../platform/index.js'
import type { LoadSample } from '../sidecar/index.js'
import { getHeartbeatMs } from './WatchSet.js'

/** Milliseconds after the last sign of life for which a target still gets work, at least. */
export const SILENCE_LIMIT_MS = 5_000

/** Heartbeats that may be missed before a target counts as silent. */
export const SILENCE_HEARTBEATS = 2.5

/** Failures in a row after which a target is ejected. */
export const EJECT_AFTER_FAILURES = 3

/** Milliseconds of the first ejection; it doubles with each further one. */
export const EJECTION_MS = 5_000

/** Longest ejection in milliseconds. */
export const EJECTION_CAP_MS = 60_000

/** Largest share of a service's targets that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.34

/** Milliseconds after which the latest run of a target says nothing about it any more, so that it is tried again. */
export const SLOWNESS_TTL_MS = 5_000

/** Weight of the newest run in a target's moving average. */
const AVERAGE_WEIGHT = 0.3

/** What an entry knows about one target. */
export interface TargetView {
  readonly instance: Instance
  load?: LoadSample
  /** Time of the last sign of life from the sidecar. */
  lastSeenAt: number
  /** Requests of this entry that were sent, less those that ended, since the last load sample. */
  changeSinceSample: number
  /** Requests of this entry under way at the target. */
  inFlight: number
  consecutiveFailures: number
  ejections: number
  ejectedUntil: number
  /** Moving average of the time of a run, divided by its expected time; 0 while unknown. */
  slowness: number
  /** Time of the latest run that the average knows. */
  slownessAt: number
}

/** Keeps what an entry knows about targets, from the platform's list and from their sidecars. */
export class TargetDirectory {
  private readonly _views = new Map<string, TargetView>()
  private _silenceLimitMs = SILENCE_LIMIT_MS

  /** Takes the platform's list; it says which targets exist, their sidecars say how they are. */
  setInstances (instances: readonly Instance[]): void {
    const targets = instances.filter(instance => instance.role === InstanceRole.Target)
    const listed = new Set(targets.map(target => target.id))
    for (const id of this._views.keys()) if (!listed.has(id)) this._views.delete(id)
    for (const instance of targets) this._setInstance(instance)
    this._silenceLimitMs = Math.max(SILENCE_LIMIT_MS, SILENCE_HEARTBEATS * getHeartbeatMs(targets.length))
  }

  /** Takes a load sample from a sidecar. */
  recordLoad (id: string, load: LoadSample, now: number): void {
    const view = this._views.get(id)
    if (view === undefined) return
    view.load = load
    view.lastSeenAt = now
    view.changeSinceSample = 0
  }

  /** Notes that the sidecar said it is leaving; this stands whatever the platform's list says. */
  recordLeaving (id: string): void {
    const view = this._views.get(id)
    if (view?.load !== undefined) view.load = { ...view.load, isLeaving: true }
  }

  /** Notes that a request was sent to a target. */
  recordDispatch (id: string): void {
    const view = this._views.get(id)
    if (view === undefined) return
    view.inFlight++
    view.changeSinceSample++
  }

  /** Notes that a request to a target has ended. */
  recordCompletion (id: string): void {
    const view = this._views.get(id)
    if (view === undefined) return
    view.inFlight = Math.max(0, view.inFlight - 1)
    view.changeSinceSample--
  }

  /** Notes the time that a successful run took against the time expected. */
  recordRun (id: string, runMs: number, expectedMs: number, now: number): void {
    const view = this._views.get(id)
    if (view === undefined) return
    view.consecutiveFailures = 0
    const ratio = runMs / Math.max(1, expectedMs)
    const isFresh = view.slowness > 0 && now - view.slownessAt <= SLOWNESS_TTL_MS
    view.slowness = isFresh ? view.slowness + AVERAGE_WEIGHT * (ratio - view.slowness) : ratio
    view.slownessAt = now
  }

  /** Notes that a target failed a request, and ejects it when it fails too often; returns true when it was ejected. */
  recordFailure (id: string, now: number): boolean {
    const view = this._views.get(id)
    if (view === undefined) return false
    view.consecutiveFailures++
    if (view.consecutiveFailures < EJECT_AFTER_FAILURES || !this._canEject(view, now)) return false
    view.consecutiveFailures = 0
    view.ejectedUntil = now + Math.min(EJECTION_CAP_MS, EJECTION_MS * 2 ** view.ejections)
    view.ejections++
    return true
  }

  /** Gets a target. */
  get (id: string): TargetView | undefined {
    return this._views.get(id)
  }

  /** Gets all targets. */
  getAll (): TargetView[] {
    return [...this._views.values()]
  }

  /** Gets the targets of a service that may be given work. */
  getUsable (service: string, now: number): TargetView[] {
    return this.getAll().filter(view => view.instance.service === service && isUsable(view, now, this._silenceLimitMs))
  }

  private _setInstance (instance: Instance): void {
    const existing = this._views.get(instance.id)
    if (existing !== undefined && existing.instance.url === instance.url) {
      this._views.set(instance.id, { ...existing, instance })
      return
    }
    this._views.set(instance.id, createView(instance))
  }

  private _canEject (view: TargetView, now: number): boolean {
    const sameService = this.getAll().filter(other => other.instance.service === view.instance.service)
    const ejected = sameService.filter(other => other.ejectedUntil > now).length
    return (ejected + 1) / sameService.length <= MAX_EJECTED_SHARE
  }
}

/** Gets the slowness of a target by its latest runs, or 0 when nothing recent is known. */
export function getRecentSlowness (view: TargetView, now: number): number {
  return now - view.slownessAt <= SLOWNESS_TTL_MS ? view.slowness : 0
}

/** Gets the requests at a target: as its sidecar counted them, with this entry's own changes since. */
export function getOutstanding (view: TargetView): number {
  const reported = (view.load?.running ?? 0) + (view.load?.queued ?? 0) + view.changeSinceSample
  return Math.max(reported, view.inFlight)
}

function createView (instance: Instance): TargetView {
  return {
    instance,
    lastSeenAt: -Infinity,
    changeSinceSample: 0,
    inFlight: 0,
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntil: -Infinity,
    slowness: 0,
    slownessAt: -Infinity
  }
}

function isUsable (view: TargetView, now: number, silenceLimitMs: number): boolean {
  if (view.load === undefined || view.load.isLeaving) return false
  if (view.instance.state === InstanceState.Leaving) return false
  return view.ejectedUntil <= now && now - view.lastSeenAt <= silenceLimitMs
}
