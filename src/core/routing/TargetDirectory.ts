import { InstanceRole, InstanceState, type Instance } from '../platform/index.js'
import type { LoadSample } from '../sidecar/index.js'
import { getHeartbeatMs } from './WatchSet.js'

/** Shortest time in milliseconds without a load sample after which a target is no longer used. */
export const SILENCE_LIMIT_MS = 5_000

/** Heartbeat intervals without a load sample after which a target counts as silent. */
export const SILENCE_HEARTBEATS = 2.5

/** Consecutive failures after which a target is ejected. */
export const EJECT_AFTER_FAILURES = 3

/** Milliseconds of the first ejection; doubled with each further one. */
export const EJECTION_MS = 5_000

/** Longest ejection, in milliseconds. */
export const EJECTION_CAP_MS = 60_000

/** Largest share of a service's targets that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.34

/** Milliseconds after its latest run for which the slowness of a target counts; the expiry makes a target that was slow eligible again. */
export const SLOWNESS_TTL_MS = 5_000

/** Weight of the newest run in the moving average of a target's slowness. */
const AVERAGE_WEIGHT = 0.3

/** State of one target, as observed by one entry. */
export interface TargetView {
  readonly instance: Instance
  load?: LoadSample
  /** Time of the last load sample from the sidecar. */
  lastSeenAt: number
  /** Requests that this entry has sent since the last load sample, minus those that completed. */
  changeSinceSample: number
  /** Requests of this entry in progress at the target. */
  inFlight: number
  consecutiveFailures: number
  ejections: number
  ejectedUntil: number
  /** Moving average of the ratio of the time of a run to its expected time; 0 before the first run. */
  slowness: number
  /** Time of the latest run included in the average. */
  slownessAt: number
}

/** Keeps the state of all targets, from the platform's instance list, the load samples of sidecars and the entry's own requests. */
export class TargetDirectory {
  private readonly _views = new Map<string, TargetView>()
  private _silenceLimitMs = SILENCE_LIMIT_MS

  /** Applies the platform's instance list, which decides which targets exist; their load comes from their sidecars. */
  setInstances (instances: readonly Instance[]): void {
    const targets = instances.filter(instance => instance.role === InstanceRole.Target)
    const listed = new Set(targets.map(target => target.id))
    for (const id of this._views.keys()) if (!listed.has(id)) this._views.delete(id)
    for (const instance of targets) this._setInstance(instance)
    this._silenceLimitMs = Math.max(SILENCE_LIMIT_MS, SILENCE_HEARTBEATS * getHeartbeatMs(targets.length))
  }

  /** Records a load sample of a sidecar. */
  recordLoad (id: string, load: LoadSample, now: number): void {
    const view = this._views.get(id)
    if (view === undefined) return
    view.load = load
    view.lastSeenAt = now
    view.changeSinceSample = 0
  }

  /** Records that a sidecar is draining, which holds even if the platform's list still has the target as live. */
  recordLeaving (id: string): void {
    const view = this._views.get(id)
    if (view?.load !== undefined) view.load = { ...view.load, isLeaving: true }
  }

  /** Records that a request was sent to a target. */
  recordDispatch (id: string): void {
    const view = this._views.get(id)
    if (view === undefined) return
    view.inFlight++
    view.changeSinceSample++
  }

  /** Records that a request to a target has completed. */
  recordCompletion (id: string): void {
    const view = this._views.get(id)
    if (view === undefined) return
    view.inFlight = Math.max(0, view.inFlight - 1)
    view.changeSinceSample--
  }

  /** Records the actual and the expected time of a successful run. */
  recordRun (id: string, runMs: number, expectedMs: number, now: number): void {
    const view = this._views.get(id)
    if (view === undefined) return
    view.consecutiveFailures = 0
    const ratio = runMs / Math.max(1, expectedMs)
    const isFresh = view.slowness > 0 && now - view.slownessAt <= SLOWNESS_TTL_MS
    view.slowness = isFresh ? view.slowness + AVERAGE_WEIGHT * (ratio - view.slowness) : ratio
    view.slownessAt = now
  }

  /** Records a failed request, ejects the target after too many consecutive ones and returns whether it did. */
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

  /** Gets the targets of a service that requests may be sent to. */
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

/** Gets the slowness of a target, or 0 when its latest run is too long ago. */
export function getRecentSlowness (view: TargetView, now: number): number {
  return now - view.slownessAt <= SLOWNESS_TTL_MS ? view.slowness : 0
}

/** Gets the number of requests at a target: the count of the last load sample, corrected by this entry's own changes since. */
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
