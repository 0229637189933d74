/** Milliseconds after a gateway has stopped waiting for a request within which a target ends its work on it. */
export const ABANDONED_GRACE_MS = 500

/** Milliseconds for which a run is kept: three intervals in which targets report, and the delay of the watch, several times over. */
const ABANDONED_RUN_MS = 15_000

/** Maximum number of runs that are kept; the oldest are dropped. */
const MAX_ABANDONED_RUNS = 10_000

/** A request that was sent to a target. */
export interface SentRun {
  /** Digests under which a crash counts against the request. */
  readonly digests: readonly string[]
  /** The one of them that other requests in progress have as well; undefined if none does. */
  readonly shared?: string | undefined
  /** Incarnation of the target. */
  readonly incarnation: string
  /** Time at which it was sent to the target, by the steady clock. */
  readonly sentAt: number
  /** True if the target had sent nothing for some time then, so that it may have ended before. */
  readonly wasSilent?: boolean
}

/** A run that its gateway does not wait for any more, although it has no answer. */
export interface AbandonedRun extends SentRun {
  /** Time at which the gateway stopped waiting, by the steady clock. */
  readonly abandonedAt: number
}

/** Runs that gateways have stopped waiting for, until it is known whether their targets went on. */
export class AbandonedRuns {
  private readonly _runs = new Set<AbandonedRun>()
  private readonly _byDigest = new Map<string, Set<AbandonedRun>>()

  /** Adds a run. */
  add (run: AbandonedRun): void {
    for (const oldest of this._runs) {
      if (this._runs.size < MAX_ABANDONED_RUNS && run.abandonedAt - oldest.abandonedAt < ABANDONED_RUN_MS) break
      this._remove(oldest)
    }
    this._runs.add(run)
    for (const digest of run.digests) {
      const runs = this._byDigest.get(digest)
      if (runs === undefined) this._byDigest.set(digest, new Set([run]))
      else runs.add(run)
    }
  }

  /** Gets the runs at an incarnation. */
  getAt (incarnation: string): AbandonedRun[] {
    return [...this._runs].filter(run => run.incarnation === incarnation)
  }

  /** Gets the runs of a request. */
  getOf (digest: string): AbandonedRun[] {
    return [...this._byDigest.get(digest) ?? []]
  }

  /** Removes the runs at an incarnation. */
  removeAt (incarnation: string): void {
    for (const run of this.getAt(incarnation)) this._remove(run)
  }

  /** Removes the runs of a request. */
  removeOf (digest: string): void {
    for (const run of this.getOf(digest)) this._remove(run)
  }

  private _remove (run: AbandonedRun): void {
    this._runs.delete(run)
    for (const digest of run.digests) {
      const runs = this._byDigest.get(digest)
      if (runs?.delete(run) === true && runs.size === 0) this._byDigest.delete(digest)
    }
  }
}

/** Gets the time of the last sign of life of the process that a target was at a time; -Infinity if there is none. */
export type GetHeardAt = (time: number) => number

/** Checks whether a target may have ended because of a run. */
export function mayHaveEnded (run: AbandonedRun, getHeardAt: GetHeardAt): boolean {
  return run.wasSilent !== true && getHeardAt(run.abandonedAt) <= run.abandonedAt + ABANDONED_GRACE_MS
}
