/** Maximum number of incarnations that are remembered; the oldest are evicted, whose targets have long left. */
export const MAX_LEAVING_TARGETS = 10_000

interface LeavingTarget {
  /** Earliest time at which the target may have announced it. */
  readonly since: number
  /** True if the target stated it in a response; its row can't take that back. */
  readonly isStated: boolean
}

/** Remembers which incarnations of targets are leaving, whether or not the store lists them. */
export class LeavingTargets {
  private readonly _targets = new Map<string, LeavingTarget>()

  /** Records that an incarnation is leaving; returns whether that is news. */
  add (incarnation: string, { since, isStated }: LeavingTarget): boolean {
    const existing = this._targets.get(incarnation)
    this._targets.set(incarnation, {
      since: Math.min(since, existing?.since ?? Infinity),
      isStated: isStated || existing?.isStated === true
    })
    if (this._targets.size > MAX_LEAVING_TARGETS) this._targets.delete(this._targets.keys().next().value!)
    return existing === undefined
  }

  /** Records that the row of an incarnation does not say that it is leaving. */
  withdraw (incarnation: string): void {
    if (this._targets.get(incarnation)?.isStated === false) this._targets.delete(incarnation)
  }

  /** Forgets an incarnation, whose key may denote another one from now on. */
  delete (incarnation: string): void {
    this._targets.delete(incarnation)
  }

  /** Gets the earliest time at which an incarnation may have announced that it is leaving; undefined if it is not leaving. */
  getSince (incarnation: string): number | undefined {
    return this._targets.get(incarnation)?.since
  }
}
