/** Weight of the newest run in the moving average of run times. */
const RUN_WEIGHT = 0.1

/** Weight of the newest token in the moving average of token times. */
const TOKEN_WEIGHT = 0.1

/** Milliseconds without a token after which the speed of a target counts as unknown. */
const SPEED_TTL_MS = 5_000

/** Moving averages of how fast a target works. */
export class TargetSpeed {
  private _msPerToken = 0
  private _measuredAt = -Infinity
  private _runMs = 0

  /** Notes tokens that came some time after the one before them. */
  recordTokens (elapsedMs: number, count: number, now: number): void {
    this._msPerToken = updateAverage(this._msPerToken, elapsedMs / count, TOKEN_WEIGHT)
    this._measuredAt = now
  }

  /** Notes the time of a run that gave an answer. */
  recordRun (runMs: number): void {
    this._runMs = updateAverage(this._runMs, runMs, RUN_WEIGHT)
  }

  /** Gets the milliseconds between two tokens of a run, or 0 when nothing recent is known. */
  getMsPerToken (now: number): number {
    return now - this._measuredAt <= SPEED_TTL_MS ? this._msPerToken : 0
  }

  /** Gets the milliseconds of a run, or 0 while unknown. */
  getRunMs (): number {
    return this._runMs
  }
}

function updateAverage (current: number, sample: number, weight: number): number {
  return current === 0 ? sample : current + weight * (sample - current)
}
