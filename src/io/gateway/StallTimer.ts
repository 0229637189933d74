/** Options of {@link StallTimer}. */
export interface StallTimerOptions {
  /** Milliseconds without progress after which a stream counts as stalled. */
  readonly limitMs: number
  /** Called once when the stream has stalled. */
  readonly onStall: () => void
}

/** Detects a stream that makes no progress; the time in which its caller does not read is not counted. */
export class StallTimer {
  private readonly _options: StallTimerOptions
  private _timer: NodeJS.Timeout | undefined
  private _check: NodeJS.Immediate | undefined
  private _hasStalled = false

  constructor (options: StallTimerOptions) {
    this._options = options
  }

  /** Starts to wait for progress. */
  start (): void {
    this.stop()
    this._timer = setTimeout(() => {
      // After a pause of the process, timers fire before input is read.
      this._check = setImmediate(() => {
        this._hasStalled = true
        this._options.onStall()
      })
    }, this._options.limitMs)
  }

  /** Stops waiting. */
  stop (): void {
    clearTimeout(this._timer)
    clearImmediate(this._check)
  }

  /** Checks whether the stream has stalled. */
  hasStalled (): boolean {
    return this._hasStalled
  }
}
