import type { RowKey } from '../platform/index.js'
import { decodeSuspectKey, getSuspectKey } from './SuspectRows.js'

/** Number of crashed target incarnations at which a request is refused. */
export const REFUSE_AFTER_INCARNATIONS = 3

/**
 * Milliseconds for which a request is refused after its third crash, after the first crash that follows that refusal, and so on.
 *
 * The first two are short, because three outages in a row may take a request with them that did not cause them; callers try for longer than
 * the first lasts. The others are so long that a request that crashes targets reaches few more of them.
 */
export const REFUSAL_MS = [1_000, 3_000, 30_000, 300_000, 900_000] as const

/** Milliseconds after its latest crash for which a request is remembered. */
export const SUSPECT_RETENTION_MS = 900_000

/** Maximum number of requests that are kept; the oldest are evicted. */
const MAX_SUSPECTS = 10_000

interface Crash {
  /** Time at which it was counted, by the steady clock. */
  readonly at: number
  /** True once the store has shown its row. */
  isStored: boolean
}

/** Crashes of one request, by the target's incarnation. */
type Suspect = Map<string, Crash>

/** A crash that the store has shown. */
export interface StoredCrash {
  readonly key: RowKey
  /** Time at which it was counted, by the steady clock. */
  readonly at: number
}

/**
 * Tracks which requests crashed targets.
 *
 * Handles a request that crashes each target that runs it and is retried at any gateway: after a few crashes it is refused instead. The
 * refusal ends, after which a further crash renews it for longer. A request that a target answers crashes none.
 */
export class SuspectList {
  private readonly _suspects = new Map<string, Suspect>()

  /** Records that a request crashed a target, at a time by the steady clock; returns true if the request is refused from then on. */
  add (digest: string, incarnation: string, at: number, isStored = false): boolean {
    const known = this._suspects.get(digest)
    if (known !== undefined && isForgotten(known, at)) this.clear(digest)
    const crashes: Suspect = this._suspects.get(digest) ?? new Map()
    const crash = crashes.get(incarnation)
    if (crash !== undefined) {
      crash.isStored ||= isStored
      return false
    }
    crashes.set(incarnation, { at, isStored })
    // The latest is moved to the end, so that the oldest is evicted.
    this._suspects.delete(digest)
    this._suspects.set(digest, crashes)
    if (this._suspects.size > MAX_SUSPECTS) {
      const [oldest] = this._suspects.keys()
      this.clear(oldest!)
    }
    return this.getRefusedMs(digest, at) > 0
  }

  /** Checks whether a crash is recorded. */
  has (digest: string, incarnation: string): boolean {
    return this._suspects.get(digest)?.has(incarnation) ?? false
  }

  /** Gets the incarnations that a request has crashed. */
  getIncarnations (digest: string, now: number): string[] {
    const crashes = this._suspects.get(digest)
    return crashes === undefined || isForgotten(crashes, now) ? [] : [...crashes.keys()]
  }

  /** Adds a crash that the store has shown; returns true if the request is refused from now on. */
  addStored ({ key, at }: StoredCrash): boolean {
    const crash = decodeSuspectKey(key)
    return crash !== undefined && this.add(crash.digest, crash.incarnation, at, true)
  }

  /** Removes the crashes that the store has shown before and does not show any more. */
  retainStored (keys: readonly RowKey[]): void {
    const shown = new Set(keys.map(({ key }) => key))
    for (const [digest, crashes] of this._suspects) {
      for (const [incarnation, { isStored }] of crashes) {
        if (isStored && !shown.has(getSuspectKey(digest, incarnation).key)) this._remove(digest, incarnation)
      }
    }
  }

  /** Removes the crash in a row that a gateway has removed. */
  removeRow (key: RowKey): void {
    const crash = decodeSuspectKey(key)
    if (crash !== undefined) this._remove(crash.digest, crash.incarnation)
  }

  /** Removes a request that a target has answered; returns the incarnations whose crashes were recorded for it. */
  clear (digest: string): string[] {
    const incarnations = [...this._suspects.get(digest)?.keys() ?? []]
    for (const incarnation of incarnations) this._remove(digest, incarnation)
    return incarnations
  }

  /** Checks whether a request has crashed so many targets that it is refused, unless its refusal has ended. */
  isConfirmed (digest: string, now: number): boolean {
    const crashes = this._suspects.get(digest)
    return crashes !== undefined && crashes.size >= REFUSE_AFTER_INCARNATIONS && !isForgotten(crashes, now)
  }

  /** Gets the milliseconds for which a request is refused from now on; 0 if it may be run. */
  getRefusedMs (digest: string, now: number): number {
    return this.isConfirmed(digest, now) ? Math.max(0, getRefusedUntil(this._suspects.get(digest)!) - now) : 0
  }

  private _remove (digest: string, incarnation: string): void {
    const crashes = this._suspects.get(digest)
    if (crashes?.delete(incarnation) !== true) return
    if (crashes.size === 0) this._suspects.delete(digest)
  }
}

/** Gets the end of the latest refusal. It follows from the times of the crashes alone, so that it is the same at all gateways. */
function getRefusedUntil (crashes: Suspect): number {
  const times = [...crashes.values()].map(({ at }) => at).sort((a, b) => a - b)
  let until = times[REFUSE_AFTER_INCARNATIONS - 1]! + REFUSAL_MS[0]
  let refusals = 1
  for (const time of times.slice(REFUSE_AFTER_INCARNATIONS)) {
    // Runs that were in progress when the refusal began do not renew it.
    if (time < until) continue
    until = time + REFUSAL_MS[Math.min(refusals++, REFUSAL_MS.length - 1)]!
  }
  return until
}

function isForgotten (crashes: Suspect, now: number): boolean {
  return now - Math.max(...[...crashes.values()].map(({ at }) => at)) >= SUSPECT_RETENTION_MS
}
