import { getIncarnationKey, type Target } from './Target.js'
import { TargetState } from './TargetState.js'

/**
 * Milliseconds after the store's return for which targets that it no longer lists are kept.
 *
 * Targets that live write their rows again within two seconds of its return.
 */
export const REREGISTER_MS = 2_000

/** Keeps the targets that the store lists, with what this gateway knows about each. */
export class TargetRegistry {
  private readonly _states = new Map<string, TargetState>()
  /** Ids that the store no longer lists and that may come back. */
  private readonly _missing = new Set<string>()
  private _isStoreUnavailable = false
  private _reregisterUntil = -Infinity

  /** Takes the registration of a target; returns whether it says anything new. */
  set (target: Target): boolean {
    this._missing.delete(target.id)
    const existing = this._states.get(target.id)
    if (existing?.incarnation !== getIncarnationKey(target) || existing.target.address !== target.address) {
      this._states.set(target.id, new TargetState(target))
      return true
    }
    const isChanged = existing.target.isLeaving !== target.isLeaving
    existing.target = target
    return isChanged
  }

  /** Takes the removal of a target's row. */
  remove (id: string, now: number): void {
    if (this._isStoreUnavailable || now < this._reregisterUntil) {
      if (this._states.has(id)) this._missing.add(id)
      return
    }
    this._states.delete(id)
  }

  /** Takes the whole list. */
  setAll (targets: readonly Target[], now: number): void {
    const listed = new Set(targets.map(target => target.id))
    for (const target of targets) this.set(target)
    for (const id of [...this._states.keys()]) if (!listed.has(id)) this.remove(id, now)
  }

  /** Notes that the store does not answer. */
  recordStoreUnavailable (): void {
    this._isStoreUnavailable = true
  }

  /** Notes that the store answers again. */
  recordStoreAvailable (now: number): void {
    if (!this._isStoreUnavailable) return
    this._isStoreUnavailable = false
    this._reregisterUntil = now + REREGISTER_MS
  }

  /** Gets the targets of a service that take work, ejected ones included. */
  getServing (service: string, now: number): TargetState[] {
    if (!this._isStoreUnavailable && now >= this._reregisterUntil && this._missing.size > 0) this._removeMissing()
    return [...this._states.values()].filter(state => state.target.service === service && !state.target.isLeaving)
  }

  /** Gets the number of targets known. */
  getSize (): number {
    return this._states.size
  }

  private _removeMissing (): void {
    for (const id of this._missing) this._states.delete(id)
    this._missing.clear()
  }
}
