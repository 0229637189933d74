/** Milliseconds within which targets that go down count as going down together, and all requests of one target as lost with it. */
export const CRASH_WINDOW_MS = 500

/** Share of the requests in progress at a target that have to be lost for its crash; fewer are connections that were lost on the way. */
const MIN_LOST_SHARE = 0.5

/** A request whose connection to a target was lost while the target ran it. */
export interface LostRequest {
  readonly digest: string
  /** Incarnation of the target. */
  readonly incarnation: string
  /** Other requests that are in progress at the target. */
  readonly others: number
}

/** A crash that counts against a request. */
export interface CrashRecord {
  readonly digest: string
  readonly incarnation: string
}

interface Crash {
  readonly incarnation: string
  readonly startedAt: number
  /** Requests in progress at the target when the first one was lost. */
  readonly inProgress: number
  readonly digests: Set<string>
  lost: number
  isEvaluated: boolean
}

/**
 * Decides which lost connections are evidence that a request crashes targets.
 *
 * A connection that is lost while the target goes on with its other requests is none. Neither is the crash of a target that goes down
 * together with another one, as with a failure domain, unless one request was at both: it crashed the first and was retried at the second.
 */
export class CrashEvidence {
  private readonly _crashes: Crash[] = []

  /** Adds a lost request. */
  add (request: LostRequest, now: number): void {
    const { digest, incarnation, others } = request
    let crash = this._crashes.find(known => known.incarnation === incarnation && now - known.startedAt <= CRASH_WINDOW_MS)
    if (crash === undefined) {
      crash = { incarnation, startedAt: now, inProgress: others + 1, digests: new Set(), lost: 0, isEvaluated: false }
      this._crashes.push(crash)
    }
    crash.digests.add(digest)
    crash.lost++
  }

  /** Gets the evidence of the crashes whose window is over and that were not evaluated yet. */
  evaluate (now: number): CrashRecord[] {
    const records: CrashRecord[] = []
    for (const crash of this._crashes) {
      if (crash.isEvaluated || now - crash.startedAt < CRASH_WINDOW_MS) continue
      crash.isEvaluated = true
      if (!isCrash(crash) || this._crashes.some(other => isUnrelated(crash, other))) continue
      for (const digest of crash.digests) records.push({ digest, incarnation: crash.incarnation })
    }
    while (this._crashes.length > 0 && now - this._crashes[0]!.startedAt > 2 * CRASH_WINDOW_MS) this._crashes.shift()
    return records
  }
}

function isCrash (crash: Crash): boolean {
  return crash.lost >= crash.inProgress * MIN_LOST_SHARE
}

/** Checks whether another target went down together with one, and no request was at both. */
function isUnrelated (crash: Crash, other: Crash): boolean {
  if (other.incarnation === crash.incarnation || !isCrash(other)) return false
  if (Math.abs(other.startedAt - crash.startedAt) > CRASH_WINDOW_MS) return false
  return ![...crash.digests].some(digest => other.digests.has(digest))
}
