/** Factor by which a workspace may exceed its share before new sessions are refused under scarcity. */
export const SHARE_SLACK = 1.5

/** Compares the work under way of each workspace with its share. */
export class WorkspaceShares {
  private readonly _inFlight = new Map<string, number>()
  private readonly _getShare: (workspace: string) => number
  private _totalInFlight = 0

  /** @param getShare - Gets the weight of a workspace; weights need not add up to anything. */
  constructor (getShare: (workspace: string) => number) {
    this._getShare = getShare
  }

  /** Notes that work of a workspace starts. */
  add (workspace: string): void {
    this._inFlight.set(workspace, (this._inFlight.get(workspace) ?? 0) + 1)
    this._totalInFlight++
  }

  /** Notes that work of a workspace has ended. */
  remove (workspace: string): void {
    const count = this._inFlight.get(workspace) ?? 0
    if (count === 0) return
    if (count === 1) this._inFlight.delete(workspace)
    else this._inFlight.set(workspace, count - 1)
    this._totalInFlight--
  }

  /** Tells whether a workspace uses more than its share while others are active too. */
  isExceeded (workspace: string): boolean {
    if (this._inFlight.size < 2) return false
    let totalWeight = 0
    for (const active of this._inFlight.keys()) totalWeight += this._getShare(active)
    const allowedInFlight = this._totalInFlight * this._getShare(workspace) / totalWeight
    return (this._inFlight.get(workspace) ?? 0) > allowedInFlight * SHARE_SLACK
  }
}
