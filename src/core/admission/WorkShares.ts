import { DecayedCount } from './DecayedCount.js'

/** Weight of the newest request in the moving average of the work. */
const AVERAGE_WEIGHT = 0.05

/** Factor by which the work of a request exceeds that of another one which it makes room for; less is noise of the estimates. */
const MIN_RATIO = 1.5

/** Bounds of the work of a request beside the average, so that a wrong estimate does not decide alone. */
const MIN_SIZE = 0.2
const MAX_SIZE = 5

/** Half-life in milliseconds of what was served and refused; bursts last 5 to 6 s. */
const HALF_LIFE_MS = 3_000

/** How often large requests are served at least beside small ones; above the half that is promised, as refusals show late in the shares. */
const MIN_LARGE_SHARE = 0.6

/** What was served and refused of requests of about the same size. */
interface SizeCounts {
  readonly served: DecayedCount
  readonly refused: DecayedCount
}

/** Tracks the work of requests that waited, and how often large ones were served beside small ones. */
export class WorkShares {
  private _averageMs: number | undefined
  private readonly _large = createCounts()
  private readonly _small = createCounts()

  /** Gets the work of a request as a multiple of the average; 1 while either is not known. */
  getSize (workMs: number | undefined): number {
    if (workMs === undefined || this._averageMs === undefined) return 1
    return Math.max(MIN_SIZE, Math.min(MAX_SIZE, workMs / this._averageMs))
  }

  /** Checks whether a request may be refused to make room for one with less work. */
  mayReplace (workMs: number | undefined, lessMs: number | undefined, now: number): boolean {
    if (workMs === undefined || lessMs === undefined || workMs < lessMs * MIN_RATIO) return false
    return !this.isLargeUnderserved(now)
  }

  /** Checks whether large requests are served too rarely beside small ones. */
  isLargeUnderserved (now: number): boolean {
    return getShare(this._large, now) < MIN_LARGE_SHARE * getShare(this._small, now)
  }

  /** Checks whether a request counts as large. */
  isLarge (workMs: number | undefined): boolean {
    return workMs !== undefined && workMs > (this._averageMs ?? Infinity)
  }

  /** Records that a request that waited was sent. */
  recordServed (workMs: number | undefined, now: number): void {
    if (workMs === undefined) return
    this._getCounts(workMs).served.add(now)
    this._averageMs = this._averageMs === undefined ? workMs : this._averageMs + AVERAGE_WEIGHT * (workMs - this._averageMs)
  }

  /** Records that a request that waited was refused. */
  recordRefused (workMs: number | undefined, now: number): void {
    if (workMs !== undefined) this._getCounts(workMs).refused.add(now)
  }

  private _getCounts (workMs: number): SizeCounts {
    return this.isLarge(workMs) ? this._large : this._small
  }
}

function createCounts (): SizeCounts {
  return { served: new DecayedCount(HALF_LIFE_MS), refused: new DecayedCount(HALF_LIFE_MS) }
}

/** Gets the share of requests that were served, 1 before any was refused. */
function getShare ({ served, refused }: SizeCounts, now: number): number {
  const refusals = refused.get(now)
  return refusals === 0 ? 1 : served.get(now) / (served.get(now) + refusals)
}
