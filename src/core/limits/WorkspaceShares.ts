/** Factor by which a workspace may exceed its share before its new sessions are refused while targets are scarce. */
export const SHARE_SLACK = 1.5

/** Compares the calls in progress of each workspace with its share. */
export class WorkspaceShares {
  private readonly _inFlight = new Map<string, number>()
  private readonly _getShare: (workspace: string) => number
  private _totalInFlight = 0

  /** @param getShare - Gets the weight of a workspace; weights need no particular sum. */
  constructor (getShare: (workspace: string) => number) {
    this._getShare = getShare
  }

  /** Records that a call of a workspace has started. */
  add (workspace: string): void {
    this._inFlight.set(workspace, (this._inFlight.get(workspace) ?? 0) + 1)
    this._totalInFlight++
  }

  /** Records that a call of a workspace has completed. */
  remove (workspace: string): void {
    const count = this._inFlight.get(workspace) ?? 0
    if (count === 0) return
    if (count === 1) this._inFlight.delete(workspace)
    else this._inFlight.set(workspace, count - 1)
    this._totalInFlight--
  }

  /** Checks whether a workspace exceeds its share while other workspaces are active too. */
  isExceeded (workspace: string): boolean {
    if (this._inFlight.size < 2) return false
    let totalWeight = 0
    for (const active of this._inFlight.keys()) totalWeight += this._getShare(active)
    const allowedInFlight = this._totalInFlight * this._getShare(workspace) / totalWeight
    return (this._inFlight.get(workspace) ?? 0) > allowedInFlight * SHARE_SLACK
  }
}
