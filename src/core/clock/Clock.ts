/** Supplies the current time to the core, which never reads a timer itself. */
export abstract class Clock {
  /** Gets the current time in milliseconds since the Unix epoch. */
  abstract now (): number
}

/** A clock that is set by hand, for tests and scripts. */
export class ManualClock extends Clock {
  private _now: number

  /** @param start - Initial time in milliseconds since the Unix epoch. */
  constructor (start = 0) {
    super()
    this._now = start
  }

  now (): number {
    return this._now
  }

  /** Sets the time; an earlier time than the current one is ignored. */
  advanceTo (time: number): void {
    this._now = Math.max(this._now, time)
  }
}
