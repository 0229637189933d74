/** Milliseconds within which targets that go down count as going down together, and all requests of one target as lost with it. */
export const CRASH_WINDOW_MS = 500

/** Share of the requests in progress at a target that have to be lost for its crash; fewer are connections that were lost on the way. */
const MIN_LOST_SHARE = 0.5

/** A request whose connection to a target was lost while the target ran it. */
export interface LostRequest {
  /** Digests under which a crash counts against the request. */
  readonly digests: readonly string[]
  /** Incarnation of the target. */
  readonly incarnation: string
  /** Other requests that are in progress at the target. */
  readonly others: number
  /** Time at which it was sent to the target, by the steady clock. */
  readonly sentAt: number
}

/** A crash that counts against a request. */
export interface CrashRecord {
  readonly digest: string
  readonly incarnation: string
}

/** When a request was first sent to a target that crashed, and when its connection was first lost there. */
interface Loss {
  readonly sentAt: number
  readonly lostAt: number
}

interface Crash {
  readonly incarnation: string
  readonly startedAt: number
  /** Requests in progress at the target when the first one was lost. */
  readonly inProgress: number
  /** Requests that were lost, by each of their digests. */
  readonly losses: Map<string, Loss>
  /** Digests against which the crash counts. */
  readonly counted: Set<string>
  lost: number
  isEvaluated: boolean
}

/**
 * Decides which lost connections are evidence that a request crashes targets.
 *
 * A connection that is lost while the target goes on with its other requests is none. Targets that go down together, with no request that
 * was retried at the second after the first, may have gone down with their failure domain or because of several requests: they count once
 * against each of their requests.
 */
export class CrashEvidence {
  private _crashes: Crash[] = []

  /** Adds a lost request. */
  add (request: LostRequest, now: number): void {
    const { digests, incarnation, others, sentAt } = request
    let crash = this._crashes.find(known => known.incarnation === incarnation && now - known.startedAt <= CRASH_WINDOW_MS)
    if (crash === undefined) {
      crash = { incarnation, startedAt: now, inProgress: others + 1, losses: new Map(), counted: new Set(), lost: 0, isEvaluated: false }
      this._crashes.push(crash)
    }
    for (const digest of digests) {
      const earlier = crash.losses.get(digest)
      crash.losses.set(digest, { sentAt: Math.min(sentAt, earlier?.sentAt ?? sentAt), lostAt: earlier?.lostAt ?? now })
    }
    crash.lost++
  }

  /** Removes a request that a target has answered from the crashes that were not evaluated yet. */
  clear (digest: string): void {
    for (const crash of this._crashes) crash.losses.delete(digest)
  }

  /**
   * Removes the crash of an incarnation that has responded to a request that was sent after it, within the window.
   *
   * Later, a target may have started again under its id before this gateway has learned of its new incarnation.
   */
  disprove (incarnation: string, sentAt: number): void {
    if (this._crashes.length === 0) return
    const isDisproved = (crash: Crash): boolean => {
      const sentAfterMs = sentAt - crash.startedAt
      return crash.incarnation === incarnation && !crash.isEvaluated && sentAfterMs >= 0 && sentAfterMs < CRASH_WINDOW_MS
    }
    this._crashes = this._crashes.filter(crash => !isDisproved(crash))
  }

  /** Gets the evidence of the crashes whose window is over and that were not evaluated yet. */
  evaluate (now: number): CrashRecord[] {
    const records: CrashRecord[] = []
    for (const crash of this._crashes) {
      if (crash.isEvaluated || now - crash.startedAt < CRASH_WINDOW_MS) continue
      crash.isEvaluated = true
      if (!isCrash(crash)) continue
      const isAmbiguous = this._crashes.some(other => isUnrelated(crash, other))
      for (const digest of crash.losses.keys()) {
        if (isAmbiguous && this._crashes.some(other => other.counted.has(digest) && isTogether(crash, other))) continue
        crash.counted.add(digest)
        records.push({ digest, incarnation: crash.incarnation })
      }
    }
    while (this._crashes.length > 0 && now - this._crashes[0]!.startedAt > 2 * CRASH_WINDOW_MS) this._crashes.shift()
    return records
  }
}

function isCrash (crash: Crash): boolean {
  return crash.lost >= crash.inProgress * MIN_LOST_SHARE
}

/** Checks whether one loss of a request was of its retry after the other. */
function isRetry (loss: Loss, other: Loss | undefined): boolean {
  return other !== undefined && (loss.sentAt >= other.lostAt || other.sentAt >= loss.lostAt)
}

function isTogether (crash: Crash, other: Crash): boolean {
  return Math.abs(other.startedAt - crash.startedAt) <= CRASH_WINDOW_MS
}

/** Checks whether another target went down together with one, and no request was retried at one of them after the other. */
function isUnrelated (crash: Crash, other: Crash): boolean {
  if (other.incarnation === crash.incarnation || !isCrash(other)) return false
  return isTogether(crash, other) && ![...crash.losses].some(([digest, loss]) => isRetry(loss, other.losses.get(digest)))
}
