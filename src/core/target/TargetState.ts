import { getIncarnationKey, type Target } from './Target.js'
import { PrefixCacheTracker } from './PrefixCacheTracker.js'
import { RequestLimit } from './RequestLimit.js'
import { SlowStart } from './SlowStart.js'
import { BestPace, StreamPace } from './StreamPace.js'
import { TargetHealth } from './TargetHealth.js'

/** Consecutive failures after which a target is ejected. */
export const EJECT_AFTER_FAILURES = 3

/** Milliseconds of the first ejection; doubled with each further one. */
export const EJECTION_MS = 500

/** Longest ejection, in milliseconds. */
export const EJECTION_CAP_MS = 4_000

/** Weight of the newest observation in the moving average of a target's delay. */
const AVERAGE_WEIGHT = 0.25

/** Half-life in milliseconds of an observed delay; the decay makes a target that was slow eligible again. */
const DELAY_HALF_LIFE_MS = 2_000

/** Half-life in milliseconds of the tokens that others are assumed to hold at a target that has refused a request; turns take seconds. */
const OTHERS_HALF_LIFE_MS = 2_000

/** Share of the size of a refused request that is assumed to be free: more than nothing, and less than the request needs. */
const FREE_SHARE_OF_REFUSED = 0.5

/** Milliseconds without a byte from a target where a request waits, after which it counts as silent; most first bytes come sooner. */
const SILENT_AFTER_MS = 1_000

/** Maximum number of connections whose times are kept; those that were heard the longest ago are dropped. */
const MAX_CONNECTIONS = 64

/** When bytes first and last arrived on a connection. */
interface HeardTimes {
  readonly firstAt: number
  readonly lastAt: number
}

/** How a target came to be listed. */
export interface Joining {
  /** Time since which it has been listed. */
  readonly listedAt?: number
  /** Time at which it joined others that had been listed before; undefined if there were none. */
  readonly joinedAt?: number
  /**
   * Delay of the others in milliseconds, which is assumed for a target that has not responded yet.
   *
   * Without it, one that joined looked faster than all others, whose delay includes the work of their requests.
   */
  readonly delayMs?: number | undefined
}

/** State of one incarnation of a target, as observed by this gateway's requests to it. */
export class TargetState {
  readonly incarnation: string
  readonly prefixCache = new PrefixCacheTracker()
  readonly limit = new RequestLimit()
  readonly pace: StreamPace
  readonly health = new TargetHealth()
  readonly slowStart: SlowStart
  /** Time since which the target has been listed; -Infinity if that is not known. */
  readonly listedAt: number
  target: Target
  private _inFlight = 0
  private _heldTokens = 0
  /** Tokens that requests of other gateways were assumed to hold at the latest refusal. */
  private _othersTokens = 0
  private _refusedAt = -Infinity
  private _pendingPrefillMs = 0
  private _failures = 0
  private _ejections = 0
  private _ejectedUntil = -Infinity
  private _excessMs = 0
  private _observedAt = -Infinity
  private _permitAt = -Infinity
  private _heardAt = -Infinity
  private readonly _heard = new Map<object, HeardTimes>()
  /** Time since which requests have waited without a byte, while some are in progress. */
  private _waitingSince = -Infinity
  /** True if requests have ended without a byte for longer than {@link SILENT_AFTER_MS}. */
  private _hasFallenSilent = false

  private readonly _getMemoryTokens: () => number | undefined

  /**
   * @param bestPace - Best pace of the target's service.
   * @param getMemoryTokens - Gets the tokens that the target has memory for; undefined if that is not known.
   */
  constructor (
    target: Target, bestPace = new BestPace(), getMemoryTokens: () => number | undefined = () => undefined,
    { listedAt, joinedAt, delayMs }: Joining = {}
  ) {
    this.target = target
    this._getMemoryTokens = getMemoryTokens
    this.pace = new StreamPace(bestPace)
    this.incarnation = getIncarnationKey(target)
    this.slowStart = new SlowStart(joinedAt)
    this.listedAt = listedAt ?? -Infinity
    if (joinedAt !== undefined && delayMs !== undefined) {
      this._excessMs = delayMs
      this._observedAt = joinedAt
    }
  }

  /** Gets the number of requests of this gateway in progress at the target. */
  getInFlight (): number {
    return this._inFlight
  }

  /** Gets the recent delay beyond the predicted time to the first byte, in milliseconds. */
  getExcessMs (now: number): number {
    return this._excessMs * 0.5 ** (Math.max(0, now - this._observedAt) / DELAY_HALF_LIFE_MS)
  }

  /** Checks whether the target has responded, or joined with an assumed delay, so lately that the delay tells of the present. */
  hasRecentDelay (now: number): boolean {
    return now - this._observedAt <= DELAY_HALF_LIFE_MS
  }

  /** Checks whether the target is ejected because of failures. */
  isEjected (now: number): boolean {
    return this._ejectedUntil > now
  }

  /** Gets the predicted prefill time of the requests of this gateway whose prefill has not finished, in milliseconds. */
  getPendingPrefillMs (): number {
    return this._pendingPrefillMs
  }

  /** Gets the milliseconds until a permit for the target is probably available; 0 if it has no limit. */
  getPermitWaitMs (now: number): number {
    return this.limit.getPerSecond() === undefined ? 0 : Math.max(0, this._permitAt - now)
  }

  /** Records the milliseconds after which a permit may be available, as its lender stated. */
  recordPermitWait (waitMs: number, now: number): void {
    this._permitAt = now + waitMs
  }

  /** Gets the time at which the last bytes arrived from the target; -Infinity before the first. */
  getHeardAt (): number {
    return this._heardAt
  }

  /**
   * Gets the time at which the last bytes arrived on a connection that was open at a time; -Infinity if none did.
   *
   * They come from the process that ran then. A new connection may lead to the next incarnation at the same address before this gateway has
   * learned of it.
   */
  getHeardOnOpenAt (time: number): number {
    return Math.max(-Infinity, ...[...this._heard.values()].flatMap(({ firstAt, lastAt }) => firstAt <= time ? [lastAt] : []))
  }

  /** Gets the whole milliseconds since the last bytes arrived from the target; undefined before the first. */
  getHeardMsAgo (now: number): number | undefined {
    return Number.isFinite(this._heardAt) ? Math.round(now - this._heardAt) : undefined
  }

  /** Checks whether the target has sent nothing for some time although a request waited. */
  isSilent (now: number): boolean {
    return this._hasFallenSilent || (this._inFlight > 0 && now - this._waitingSince >= SILENT_AFTER_MS)
  }

  /** Records that bytes have arrived from the target on a connection. */
  recordHeard (now: number, connection: object): void {
    const firstAt = this._heard.get(connection)?.firstAt ?? now
    // Moved to the end, so that the first is the one that was heard the longest ago.
    this._heard.delete(connection)
    this._heard.set(connection, { firstAt, lastAt: now })
    if (this._heard.size > MAX_CONNECTIONS) this._heard.delete(this._heard.keys().next().value!)
    this._heardAt = now
    this._waitingSince = now
    this._hasFallenSilent = false
  }

  /**
   * Checks whether a request probably fits into the target's memory; true if that is not known.
   *
   * Counts the requests of this gateway, and what others must have held when the target refused a request.
   */
  hasMemory (tokens: number, now: number): boolean {
    const memoryTokens = this._getMemoryTokens()
    return memoryTokens === undefined || this._heldTokens + this._getOthersTokens(now) + tokens <= memoryTokens
  }

  /** Records that the target has refused a request as if it were full; smaller requests may still fit. */
  recordFull (tokens: number, now: number): void {
    const memoryTokens = this._getMemoryTokens()
    if (memoryTokens === undefined) return
    const othersTokens = memoryTokens - this._heldTokens - tokens * FREE_SHARE_OF_REFUSED
    this._othersTokens = Math.max(0, this._getOthersTokens(now), othersTokens)
    this._refusedAt = now
  }

  /**
   * Records that a request is sent to the target.
   *
   * @param tokens - Tokens that it holds in the target's memory at most, until {@link recordCompletion} gets the same number.
   */
  recordStart (prefillMs: number, now: number, tokens = 0): void {
    if (this._inFlight === 0) this._waitingSince = now
    this._inFlight++
    this._heldTokens += tokens
    this._pendingPrefillMs += prefillMs
  }

  /** Records that the prefill of a request has finished, or that the request completed before it. */
  recordPrefillEnd (prefillMs: number): void {
    this._pendingPrefillMs = Math.max(0, this._pendingPrefillMs - prefillMs)
  }

  /** Records that a request at the target has completed. */
  recordCompletion (now: number, tokens = 0): void {
    this._hasFallenSilent = this.isSilent(now)
    this._inFlight--
    this._heldTokens -= tokens
  }

  /** Records a response and its delay beyond the predicted time. */
  recordResponse (excessMs: number, now: number): void {
    this._failures = 0
    this._ejections = 0
    this.health.recordResponse(now)
    const previousMs = this.getExcessMs(now)
    this._excessMs = Math.max(0, previousMs + AVERAGE_WEIGHT * (excessMs - previousMs))
    this._observedAt = now
  }

  /** Records a failure and returns the milliseconds of the ejection, or 0; an unreachable target is ejected immediately. */
  recordFailure (now: number, isUnreachable: boolean): number {
    this.health.recordFailure(now)
    this._failures++
    if (!isUnreachable && this._failures < EJECT_AFTER_FAILURES) return 0
    const ejectionMs = Math.min(EJECTION_CAP_MS, EJECTION_MS * 2 ** this._ejections)
    this._failures = 0
    this._ejections++
    this._ejectedUntil = now + ejectionMs
    return ejectionMs
  }

  private _getOthersTokens (now: number): number {
    return this._othersTokens * 0.5 ** (Math.max(0, now - this._refusedAt) / OTHERS_HALF_LIFE_MS)
  }
}
