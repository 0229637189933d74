import { getIncarnationKey, type Target } from './Target.js'
import { LeavingTargets } from './LeavingTargets.js'
import { BestPace } from './StreamPace.js'
import { getMedianDelayMs } from './getMedianDelayMs.js'
import { SLOW_START_MS } from './SlowStart.js'
import { TargetState, type Joining } from './TargetState.js'

/**
 * Milliseconds after an outage of the store for which targets that are no longer listed are kept.
 *
 * Rows expire during an outage; live targets write theirs again within two seconds of its end.
 */
export const REREGISTER_MS = 2_000

/** Milliseconds that a request takes at most to reach its target: the time-out of a new connection, and the network. */
const DISPATCH_MS = 600

/** How the store has shown that an incarnation is gone that was not leaving. */
export const TargetEndCause = {
  /** Its row was removed; a target that leaves unannounced still serves. */
  Removed: 'removed',
  /** Another incarnation has its id. */
  Replaced: 'replaced'
} as const
export type TargetEndCause = typeof TargetEndCause[keyof typeof TargetEndCause]

/** Options of {@link TargetRegistry}. */
export interface TargetRegistryOptions {
  /** Called when an incarnation that was not leaving is gone and not found any more; not for rows that an outage may have removed. */
  readonly onEnded?: (state: TargetState, cause: TargetEndCause) => void
  /** Called when an incarnation is listed that was not before. */
  readonly onListed?: (incarnation: string) => void
  /** Milliseconds for which a target goes on serving after it has announced that it is leaving. */
  readonly drainMs?: number
  /** Gets the tokens that each target of a service has memory for; undefined if that is not known. */
  readonly getMemoryTokens?: (service: string) => number | undefined
}

/** Keeps the targets that the store lists, with the state that this gateway tracks for each. */
export class TargetRegistry {
  private readonly _states = new Map<string, TargetState>()
  private readonly _bestPaces = new Map<string, BestPace>()
  /** Ids that the store no longer lists since an outage, and that may be registered again. */
  private readonly _missing = new Set<string>()
  private readonly _leaving = new LeavingTargets()
  private readonly _drainMs: number
  private readonly _options: TargetRegistryOptions
  private _isStoreUnavailable = false
  private _reregisterUntil = -Infinity

  constructor (options: TargetRegistryOptions = {}) {
    this._options = options
    this._drainMs = options.drainMs ?? 0
  }

  /**
   * Applies the registration of a target; returns whether anything that matters to placement changed.
   *
   * @param changedAfter - Time after which the row was changed; unknown by default.
   * @param now - Present time; without it, the target is not taken for one that has joined others.
   */
  set (target: Target, changedAfter = -Infinity, now = -Infinity): boolean {
    return this._apply(target, changedAfter, now, () => true)
  }

  /** Applies the removal of a target's row; during an outage and the grace period after it, the target is kept. */
  remove (id: string, now: number): void {
    if (this._keepsMissing(now)) {
      if (this._states.has(id)) this._missing.add(id)
      return
    }
    const state = this._states.get(id)
    const hasEnded = state !== undefined && !this._isLeaving(state)
    this._delete(id)
    if (hasEnded) this._options.onEnded?.(state, TargetEndCause.Removed)
  }

  /** Applies the complete list of targets. */
  setAll (targets: readonly Target[], now: number, changedAfter = -Infinity): void {
    const listed = new Set(targets.map(target => target.id))
    const incarnations = new Set(targets.map(getIncarnationKey))
    const isStaying = (state: TargetState): boolean =>
      incarnations.has(state.incarnation) || (this._keepsMissing(now) && !listed.has(state.target.id))
    for (const target of targets) this._apply(target, changedAfter, now, isStaying)
    for (const id of [...this._states.keys()]) if (!listed.has(id)) this.remove(id, now)
  }

  /** Records that a target has stated that it is leaving, which holds for its incarnation; returns whether that is news. */
  recordLeaving (incarnation: string, statedAt: number): boolean {
    return this._leaving.add(incarnation, { since: statedAt, isStated: true })
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
    return this._getOfService(service, now).filter(state => this._leaving.getSince(state.incarnation) === undefined)
  }

  /** Gets the targets of a service that are draining and still serve, for requests that no other target can serve. */
  getDraining (service: string, now: number): TargetState[] {
    return this._getOfService(service, now).filter(state => {
      const since = this._leaving.getSince(state.incarnation)
      return since !== undefined && now < since + this._drainMs - DISPATCH_MS
    })
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

  /** Applies the registration of a target, with a check whether another target goes on being listed. */
  private _apply (target: Target, changedAfter: number, now: number, isStaying: (state: TargetState) => boolean): boolean {
    this._missing.delete(target.id)
    const existing = this._states.get(target.id)
    const incarnation = getIncarnationKey(target)
    const isReplaced = existing?.incarnation !== incarnation || existing.target.address !== target.address
    const hasEnded = existing !== undefined && existing.incarnation !== incarnation && !this._isLeaving(existing)
    if (isReplaced) this._forgetUnknown(existing?.target)
    if (target.isLeaving) this._leaving.add(incarnation, { since: changedAfter, isStated: false })
    else this._leaving.withdraw(incarnation)
    if (isReplaced) {
      const getMemoryTokens = (): number | undefined => this._options.getMemoryTokens?.(target.service)
      const joining = this._getJoining(target, now, isStaying)
      this._states.set(target.id, new TargetState(target, this._getBestPace(target.service), getMemoryTokens, joining))
      this._recordCold(target, now)
      if (hasEnded) this._options.onEnded?.(existing, TargetEndCause.Replaced)
      this._options.onListed?.(incarnation)
      return true
    }
    const isChanged = existing.target.isLeaving !== target.isLeaving
    existing.target = target
    this._recordCold(target, now)
    return isChanged
  }

  /** Checks whether targets are kept that are no longer listed, since an outage may have removed their rows. */
  private _keepsMissing (now: number): boolean {
    return this._isStoreUnavailable || now < this._reregisterUntil
  }

  private _getOfService (service: string, now: number): TargetState[] {
    if (!this._isStoreUnavailable && now >= this._reregisterUntil && this._missing.size > 0) this._removeMissing()
    return [...this._states.values()].filter(state => state.target.service === service)
  }

  private _recordCold ({ id, coldMs }: Target, now: number): void {
    if (Number.isFinite(now)) this._states.get(id)!.slowStart.recordCold(coldMs ?? 0, now)
  }

  /**
   * Gets how a target comes to be listed: it joins others if at least half of those of its service that go on serving have been listed for
   * some time.
   *
   * When most of a service is new, as after the start of this gateway, nothing is held back. In a list that replaces a whole service, the
   * first half of the targets would otherwise be held back, and the second half would not.
   */
  private _getJoining (target: Target, now: number, isStaying: (state: TargetState) => boolean): Joining {
    const others = [...this._states.values()].filter(state =>
      state.target.service === target.service && state.target.id !== target.id && isStaying(state) && !this._isLeaving(state)
    )
    const established = others.filter(state => now - state.listedAt >= SLOW_START_MS)
    if (established.length === 0 || established.length < others.length / 2) return { listedAt: now }
    return { listedAt: now, joinedAt: now, delayMs: getMedianDelayMs(established, now) }
  }

  private _isLeaving ({ incarnation }: TargetState): boolean {
    return this._leaving.getSince(incarnation) !== undefined
  }

  private _delete (id: string): void {
    this._forgetUnknown(this._states.get(id)?.target)
    this._states.delete(id)
  }

  /** Forgets that a target is leaving whose start time is unknown, because its next incarnation would have the same key. */
  private _forgetUnknown (target: Target | undefined): void {
    if (target?.bornAt === 0) this._leaving.delete(getIncarnationKey(target))
  }

  private _getBestPace (service: string): BestPace {
    const existing = this._bestPaces.get(service)
    if (existing !== undefined) return existing
    const bestPace = new BestPace()
    this._bestPaces.set(service, bestPace)
    return bestPace
  }

  private _removeMissing (): void {
    for (const id of this._missing) this._delete(id)
    this._missing.clear()
  }
}
