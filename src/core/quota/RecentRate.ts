/** Time constant in milliseconds with which events are forgotten. */
const DECAY_MS = 1_000

/** Estimates the rate of events by an exponentially weighted average over about the last second. */
export class RecentRate {
  private _weight = 0
  private _updatedAt = -Infinity

  /** Records an event. */
  record (now: number): void {
    this._weight = this._getWeight(now) + 1
    this._updatedAt = now
  }

  /** Gets the rate in events per second. */
  getPerSecond (now: number): number {
    return this._getWeight(now) * 1_000 / DECAY_MS
  }

  private _getWeight (now: number): number {
    return this._weight * Math.exp(-Math.max(0, now - this._updatedAt) / DECAY_MS)
  }
}
