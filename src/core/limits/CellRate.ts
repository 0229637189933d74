/**
 * Spaces events by the generic cell rate algorithm: the mean rate is kept, and events that come late let later ones follow at once, up to a
 * burst.
 */
export class CellRate {
  /** Time at which the next event is due if all are evenly spaced, by the steady clock. */
  private _nextAt: number

  /** Starts with a whole burst unless a later time is given. */
  constructor (nextAt = -Infinity) {
    this._nextAt = nextAt
  }

  /** Gets the time at which the next event is due if all are evenly spaced. */
  getNextAt (): number {
    return this._nextAt
  }

  /** Makes the next event due at a later time. */
  postpone (nextAt: number): void {
    this._nextAt = Math.max(this._nextAt, nextAt)
  }

  /** Gets the milliseconds until the next event may take place; the burst is the time by which it may be early. */
  getWaitMs (now: number, burstMs: number): number {
    return Math.max(0, this._nextAt - burstMs - now)
  }

  /** Adds an event, which takes place as soon as it may. */
  add (now: number, intervalMs: number): void {
    this._nextAt = Math.max(this._nextAt, now) + intervalMs
  }
}
