import { Clock } from './Clock.js'

/** Clock of the time in which the process ran: a pause of the process, or of its event loop, counts as one step at most. */
export class RunningClock extends Clock {
  private readonly _clock: Clock
  private readonly _maxStepMs: number
  private _time = 0
  private _tickedAt: number

  /**
   * @param clock - Clock that goes on during a pause.
   * @param maxStepMs - Largest number of milliseconds counted between two ticks.
   */
  constructor (clock: Clock, maxStepMs: number) {
    super()
    this._clock = clock
    this._maxStepMs = maxStepMs
    this._tickedAt = clock.now()
  }

  now (): number {
    return this._time + Math.min(this._clock.now() - this._tickedAt, this._maxStepMs)
  }

  /** Records that the process runs; called at regular intervals. */
  tick (): void {
    this._time = this.now()
    this._tickedAt = this._clock.now()
  }
}
