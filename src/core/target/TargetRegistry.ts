import { getIncarnationKey, type Target } from './Target.js'
import { BestPace } from './StreamPace.js'
import { TargetState } from './TargetState.js'

/**
 * Milliseconds after an outage of the store for which targets that are no longer listed are kept.
 *
 * Rows expire during an outage; live targets write theirs again within two seconds of its end.
 */
export const REREGISTER_MS = 2_000

/** Keeps the targets that the store lists, with the state that this gateway tracks for each. */
export class TargetRegistry {
  private readonly _states = new Map<string, TargetState>()
  private readonly _bestPaces = new Map<string, BestPace>()
  /** Ids that the store no longer lists since an outage, and that may be registered again. */
  private readonly _missing = new Set<string>()
  private _isStoreUnavailable = false
  private _reregisterUntil = -Infinity

  /** Applies the registration of a target; returns whether anything that matters to placement changed. */
  set (target: Target): boolean {
    this._missing.delete(target.id)
    const existing = this._states.get(target.id)
    if (existing?.incarnation !== getIncarnationKey(target) || existing.target.address !== target.address) {
      this._states.set(target.id, new TargetState(target, this._getBestPace(target.service)))
      return true
    }
    const isChanged = existing.target.isLeaving !== target.isLeaving
    existing.target = target
    return isChanged
  }

  /** Applies the removal of a target's row; during an outage and the grace period after it, the target is kept. */
  remove (id: string, now: number): void {
    if (this._isStoreUnavailable || now < this._reregisterUntil) {
      if (this._states.has(id)) this._missing.add(id)
      return
    }
    this._states.delete(id)
  }

  /** Applies the complete list of targets. */
  setAll (targets: readonly Target[], now: number): void {
    const listed = new Set(targets.map(target => target.id))
    for (const target of targets) this.set(target)
    for (const id of [...this._states.keys()]) if (!listed.has(id)) this.remove(id, now)
  }

  /** Records that the store is unavailable. */
  recordStoreUnavailable (): void {
    this._isStoreUnavailable = true
  }

  /** Records that the store is available again. */
  recordStoreAvailable (now: number): void {
    if (!this._isStoreUnavailable) return
    this._isStoreUnavailable = false
    this._reregisterUntil = now + REREGISTER_MS
  }

  /** Gets the targets of a service that are not draining, including ejected ones. */
  getServing (service: string, now: number): TargetState[] {
    if (!this._isStoreUnavailable && now >= this._reregisterUntil && this._missing.size > 0) this._removeMissing()
    return [...this._states.values()].filter(state => state.target.service === service && !state.target.isLeaving)
  }

  /** Gets a target by the key of its incarnation; undefined if that incarnation is not listed. */
  find (incarnation: string): TargetState | undefined {
    const state = this._states.get(incarnation.slice(0, incarnation.lastIndexOf('@')))
    return state?.incarnation === incarnation ? state : undefined
  }

  /** Gets all targets, draining ones included. */
  getTargets (): Target[] {
    return [...this._states.values()].map(state => state.target)
  }

  /** Gets the number of targets. */
  getSize (): number {
    return this._states.size
  }

  private _getBestPace (service: string): BestPace {
    const existing = this._bestPaces.get(service)
    if (existing !== undefined) return existing
    const bestPace = new BestPace()
    this._bestPaces.set(service, bestPace)
    return bestPace
  }

  private _removeMissing (): void {
    for (const id of this._missing) this._states.delete(id)
    this._missing.clear()
  }
}
