/** Count of events that halves with each half-life, so that it stands for the last few of them. */
export class DecayedCount {
  private readonly _halfLifeMs: number
  private _count = 0
  private _countedAt = -Infinity

  /** @param halfLifeMs - Milliseconds by which an event counts half. */
  constructor (halfLifeMs: number) {
    this._halfLifeMs = halfLifeMs
  }

  /** Gets the count at a time. */
  get (now: number): number {
    return this._count === 0 ? 0 : this._count * 0.5 ** (Math.max(0, now - this._countedAt) / this._halfLifeMs)
  }

  /** Adds events, or takes some back; the count stays between 0 and `max`. */
  add (now: number, events = 1, max = Infinity): void {
    this._count = Math.max(0, Math.min(max, this.get(now) + events))
    this._countedAt = now
  }

  /** Gets the events a second that lead to the present count if they go on evenly. */
  getPerSecond (now: number): number {
    return this.get(now) * Math.LN2 * 1_000 / this._halfLifeMs
  }
}
