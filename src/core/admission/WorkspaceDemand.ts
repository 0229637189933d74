import { DecayedCount } from './DecayedCount.js'

/** Half-life in milliseconds of the demand that counts as usual; bursts of a workspace last 5 to 6 s. */
const USUAL_HALF_LIFE_MS = 60_000

/** Half-life in milliseconds of the demand that is compared with the usual one. */
const RECENT_HALF_LIFE_MS = 2_000

/**
 * Multiple of its usual demand up to which a workspace has its share.
 *
 * A burst of 7 times keeps over a sixth of its requests in it, a quarter of what is served of all when two thirds are. With a multiple of
 * 2, one such burst and the usual load of the others exceeded the capacity together.
 */
const SHARE_FACTOR = 1.25

/** Recent requests of a workspace that are within its share whatever its usual demand is: after a restart none is known. */
const MIN_REQUESTS = 4

/** Workspaces above which those without usual demand are removed. */
const WORKSPACES_BEFORE_SWEEP = 1_000

/** Usual demand in requests below which a workspace is forgotten. */
const NEGLIGIBLE = 0.1

interface Demand {
  readonly usual: DecayedCount
  /** Recent requests that were within the share. */
  readonly within: DecayedCount
}

/**
 * Compares the demand of each workspace with its usual one.
 *
 * Answers a workspace that suddenly sends several times its usual load: what exceeds its share goes after the requests of the others. Large
 * workspaces keep shares in proportion to their usual demand.
 */
export class WorkspaceDemand {
  private readonly _demands = new Map<string, Demand>()
  private _since: number | undefined

  /**
   * Records a request, and returns whether it is within the share of its workspace.
   *
   * @param isShort - True while there is too little capacity: a burst must not count as usual for the workspace that causes it.
   */
  record (workspace: string, now: number, isShort: boolean): boolean {
    this._since ??= now
    if (this._demands.size > WORKSPACES_BEFORE_SWEEP) this._sweep(now)
    const demand = this._demands.get(workspace) ?? {
      usual: new DecayedCount(USUAL_HALF_LIFE_MS), within: new DecayedCount(RECENT_HALF_LIFE_MS)
    }
    this._demands.set(workspace, demand)
    // Until the half-life has passed, the count is low for the time that it covers.
    const coverage = 1 - 0.5 ** ((now - this._since) / USUAL_HALF_LIFE_MS)
    const usualRecent = coverage === 0 ? 0 : demand.usual.get(now) / coverage * RECENT_HALF_LIFE_MS / USUAL_HALF_LIFE_MS
    const isWithin = demand.within.get(now) < MIN_REQUESTS + SHARE_FACTOR * usualRecent
    if (isWithin || !isShort) demand.usual.add(now)
    if (isWithin) demand.within.add(now)
    return isWithin
  }

  private _sweep (now: number): void {
    for (const [workspace, { usual }] of this._demands) if (usual.get(now) < NEGLIGIBLE) this._demands.delete(workspace)
  }
}
