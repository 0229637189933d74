import type { Clock } from './Clock.js'

/** Milliseconds without a sign of life after which a process has been paused; an instance takes longer to start again. */
export const MIN_PAUSE_MS = 1_000

/** Milliseconds between two signs of life. */
export const LIFE_SIGN_MS = 200

/**
 * Detects that the process was paused, by gaps between signs of life.
 *
 * Timers and input that are due after a pause come in any order, so whoever acts on what was learned earlier asks here at that moment.
 */
export class PauseDetector {
  private readonly _clock: Clock
  private _aliveAt: number
  private _resumedAt = -Infinity

  constructor (clock: Clock) {
    this._clock = clock
    this._aliveAt = clock.now()
  }

  /** Records a sign of life. */
  recordLife (): void {
    const now = this._clock.now()
    if (now - this._aliveAt >= MIN_PAUSE_MS) this._resumedAt = now
    this._aliveAt = now
  }

  /** Gets the time at which the latest pause was seen to have ended; what was learned before may be out of date. */
  getResumedAt (): number {
    this.recordLife()
    return this._resumedAt
  }
}
