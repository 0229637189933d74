import type { Clock } from './Clock.js'

/** A moment as both clocks of a process showed it, in milliseconds. */
export interface Moment {
  /** Time by the steady clock. */
  readonly at: number
  /** Time by the wall clock. */
  readonly wallAt: number
}

/**
 * Measures ages by the steady and the wall clock, whichever shows more.
 *
 * The steady clock does not count the time for which a machine is suspended, and the wall clock may be set.
 */
export class AgeClock {
  private readonly _clock: Clock
  private readonly _wallClock: Clock

  constructor (clock: Clock, wallClock: Clock) {
    this._clock = clock
    this._wallClock = wallClock
  }

  /** Gets the present moment. */
  mark (): Moment {
    return { at: this._clock.now(), wallAt: this._wallClock.now() }
  }

  /** Gets the milliseconds since a moment. */
  getAgeMs ({ at, wallAt }: Moment): number {
    return Math.max(this._clock.now() - at, this._wallClock.now() - wallAt)
  }
}
