/** Weight of the newest gap in the moving average of the gaps between events. */
const AVERAGE_WEIGHT = 0.05

/** Gaps after which the average of a target is stable enough to compare others with it. */
const MIN_GAPS = 20

/** Half-life in milliseconds of an observed slowdown; the decay makes a target that was slow eligible again. */
const SLOWDOWN_HALF_LIFE_MS = 2_000

/** Best pace observed at any target of a service, with which the targets are compared: one may be slow since it was first used. */
export class BestPace {
  private _gapMs = Infinity

  /** Gets the shortest average gap between two events, in milliseconds; Infinity while none is known. */
  getGapMs (): number {
    return this._gapMs
  }

  /** Records the average gap of a target. */
  record (gapMs: number): void {
    this._gapMs = Math.min(this._gapMs, gapMs)
  }
}

/**
 * Pace at which a model target generates the events of streams, compared with the best one of its service.
 *
 * A target that batches many requests answers each of them promptly, but generates all more slowly; the time to the first event does not
 * show it.
 */
export class StreamPace {
  private readonly _best: BestPace
  private _gapMs = 0
  private _gaps = 0
  private _observedAt = -Infinity

  constructor (best: BestPace) {
    this._best = best
  }

  /** Records the milliseconds between two events of a stream. */
  recordGap (gapMs: number, now: number): void {
    this._gapMs = this._gaps === 0 ? gapMs : this._gapMs + AVERAGE_WEIGHT * (gapMs - this._gapMs)
    this._gaps++
    this._observedAt = now
    if (this._gaps >= MIN_GAPS) this._best.record(this._gapMs)
  }

  /** Gets the milliseconds between two events at the best pace of the service; 0 while it is not known. */
  getBestGapMs (): number {
    const bestMs = this._best.getGapMs()
    return bestMs === Infinity ? 0 : bestMs
  }

  /** Gets the factor by which streams are slower than at the best pace; 1 while either is not known. */
  getSlowdown (now: number): number {
    const bestMs = this._best.getGapMs()
    if (bestMs === Infinity || this._gaps === 0) return 1
    const slowdown = Math.max(1, this._gapMs / Math.max(1, bestMs))
    return 1 + (slowdown - 1) * 0.5 ** (Math.max(0, now - this._observedAt) / SLOWDOWN_HALF_LIFE_MS)
  }
}
