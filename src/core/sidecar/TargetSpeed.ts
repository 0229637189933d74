/** Weight of the newest sample in the moving average of run durations. */
const RUN_WEIGHT = 0.1

/** Weight of the newest sample in the moving average of the time between tokens. */
const TOKEN_WEIGHT = 0.1

/** Milliseconds without a token after which the time between tokens is reported as 0 (unknown). */
const SPEED_TTL_MS = 5_000

/** Keeps moving averages of the speed of a target. */
export class TargetSpeed {
  private _msPerToken = 0
  private _measuredAt = -Infinity
  private _runMs = 0

  /** Records tokens that arrived a given time after the previous token of the same run. */
  recordTokens (elapsedMs: number, count: number, now: number): void {
    this._msPerToken = updateAverage(this._msPerToken, elapsedMs / count, TOKEN_WEIGHT)
    this._measuredAt = now
  }

  /** Records the duration of a run that produced a response. */
  recordRun (runMs: number): void {
    this._runMs = updateAverage(this._runMs, runMs, RUN_WEIGHT)
  }

  /** Gets the milliseconds between two tokens of a run, or 0 if there is no recent measurement. */
  getMsPerToken (now: number): number {
    return now - this._measuredAt <= SPEED_TTL_MS ? this._msPerToken : 0
  }

  /** Gets the duration of a run in milliseconds, or 0 before the first measurement. */
  getRunMs (): number {
    return this._runMs
  }
}

function updateAverage (current: number, sample: number, weight: number): number {
  return current === 0 ? sample : current + weight * (sample - current)
}
