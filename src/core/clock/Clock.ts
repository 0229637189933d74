/** Provides the current time to the core, which never reads the system clock itself. */
export abstract class Clock {
  /** Gets the current time in milliseconds since the Unix epoch. */
  abstract now (): number
}

/** Clock that is advanced explicitly, for tests and scripts. */
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

  /** Advances the time; a time before the current one is ignored. */
  advanceTo (time: number): void {
    this._now = Math.max(this._now, time)
  }
}
