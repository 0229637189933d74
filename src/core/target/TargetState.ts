import { getIncarnationKey, type Target } from './Target.js'
import { PrefixCacheTracker } from './PrefixCacheTracker.js'

/** Failures in a row after which a target gets no work for a while. */
export const EJECT_AFTER_FAILURES = 3

/** Milliseconds of the first ejection; it doubles with each further one. */
export const EJECTION_MS = 500

/** Longest ejection, in milliseconds. */
export const EJECTION_CAP_MS = 4_000

/** Weight of the newest observation in the moving average of a target's delay. */
const AVERAGE_WEIGHT = 0.25

/** Milliseconds after which half of an observed delay is forgotten, so that a slowed target is tried again. */
const DELAY_HALF_LIFE_MS = 2_000

/** What this gateway knows about one lifetime of a target from its own requests. */
export class TargetState {
  readonly incarnation: string
  readonly prefixCache = new PrefixCacheTracker()
  target: Target
  private _inFlight = 0
  private _pendingPrefillMs = 0
  private _failures = 0
  private _ejections = 0
  private _ejectedUntil = -Infinity
  private _excessMs = 0
  private _observedAt = -Infinity

  constructor (target: Target) {
    this.target = target
    this.incarnation = getIncarnationKey(target)
  }

  /** Gets the requests of this gateway at the target. */
  getInFlight (): number {
    return this._inFlight
  }

  /** Gets how much longer than predicted the target took lately, in milliseconds. */
  getExcessMs (now: number): number {
    return this._excessMs * 0.5 ** (Math.max(0, now - this._observedAt) / DELAY_HALF_LIFE_MS)
  }

  /** Tells whether the target is given no work because it failed. */
  isEjected (now: number): boolean {
    return this._ejectedUntil > now
  }

  /** Gets the milliseconds of prompt reading that this gateway has given to the target and that are not done. */
  getPendingPrefillMs (): number {
    return this._pendingPrefillMs
  }

  /** Notes that a request goes to the target. */
  recordStart (prefillMs: number): void {
    this._inFlight++
    this._pendingPrefillMs += prefillMs
  }

  /** Notes that the prompt of a request was read, or that the request has ended before. */
  recordPrefillEnd (prefillMs: number): void {
    this._pendingPrefillMs = Math.max(0, this._pendingPrefillMs - prefillMs)
  }

  /** Notes that a request at the target has ended. */
  recordCompletion (): void {
    this._inFlight--
  }

  /** Notes an answer and how much later than predicted it came. */
  recordResponse (excessMs: number, now: number): void {
    this._failures = 0
    this._ejections = 0
    const previousMs = this.getExcessMs(now)
    this._excessMs = Math.max(0, previousMs + AVERAGE_WEIGHT * (excessMs - previousMs))
    this._observedAt = now
  }

  /** Notes a failure; an unreachable target is ejected at once. Returns the milliseconds of an ejection, or 0. */
  recordFailure (now: number, isUnreachable: boolean): number {
    this._failures++
    if (!isUnreachable && this._failures < EJECT_AFTER_FAILURES) return 0
    const ejectionMs = Math.min(EJECTION_CAP_MS, EJECTION_MS * 2 ** this._ejections)
    this._failures = 0
    this._ejections++
    this._ejectedUntil = now + ejectionMs
    return ejectionMs
  }
}
