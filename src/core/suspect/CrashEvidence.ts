import { ABANDONED_GRACE_MS, mayHaveEnded, AbandonedRuns, type GetHeardAt, type AbandonedRun, type SentRun } from './AbandonedRuns.js'

/** Milliseconds within which targets that go down count as going down together, and all requests of one target as lost with it. */
export const CRASH_WINDOW_MS = 500

/** Share of the requests in progress at a target that have to be lost for its crash; fewer are connections that were lost on the way. */
const MIN_LOST_SHARE = 0.5

/** Milliseconds for which a crash is kept: longer than the rows of targets that went down together take to expire. */
const KEEP_MS = 10_000

/** Maximum number of incarnations whose inferred ends are kept, which a sign of life takes back. */
const MAX_INFERRED = 1_000

/** A request whose connection to a target was lost while the target ran it. */
export interface LostRequest extends SentRun {
  /** Other requests that are in progress at the target. */
  readonly others: number
}

/** A crash that counts against a request. */
export interface CrashRecord {
  readonly digest: string
  readonly incarnation: string
}

/** When a request was first sent to a target that crashed, and when it was first lost there, or not awaited any more. */
interface Loss {
  readonly sentAt: number
  readonly lostAt: number
}

interface Crash {
  readonly incarnation: string
  readonly startedAt: number
  /** Requests in progress at the target when the first one was lost. */
  readonly inProgress: number
  readonly lost: Array<{ readonly request: LostRequest, readonly at: number }>
  /** Requests that were lost, by each of their digests. */
  readonly losses: Map<string, Loss>
  /** Digests against which the crash counts. */
  readonly counted: Set<string>
  /** True if the store has shown the end, whose time is not known. */
  readonly isInferred: boolean
  isEvaluated: boolean
}

/**
 * Decides what is evidence that a request crashes targets.
 *
 * The end of a target shows in two ways. Most of its connections are lost at once; one that is lost while the target goes on with its other
 * requests is no evidence. Or the store shows it later, after an end in silence, or when nobody waited for the request any more; it counts
 * unless the target has sent anything since.
 *
 * Targets that go down together may have gone down with their failure domain, or because of several requests: they count once against each
 * of their requests, except one that was sent to the second target after it had been lost at the first.
 */
export class CrashEvidence {
  private _crashes: Crash[] = []
  private readonly _abandoned = new AbandonedRuns()
  private readonly _inferred = new Map<string, CrashRecord[]>()

  /** Adds a lost request. */
  add (request: LostRequest, now: number): void {
    const { incarnation, others } = request
    const recent = this._crashes.filter(known => !known.isInferred && now - known.startedAt <= CRASH_WINDOW_MS)
    let crash = recent.find(known => known.incarnation === incarnation)
    if (crash === undefined) {
      crash = createCrash(incarnation, now, { inProgress: others + 1 })
      this._crashes.push(crash)
    }
    crash.lost.push({ request, at: now })
    addLosses(crash, { ...request, abandonedAt: now })
  }

  /** Adds a run that its gateway does not wait for any more, although it has no answer. */
  addAbandoned (run: AbandonedRun): void {
    this._abandoned.add(run)
  }

  /** Gets the runs of a request that a target may still have. */
  getAbandoned (digest: string): AbandonedRun[] {
    return this._abandoned.getOf(digest)
  }

  /** Checks whether a target may have ended because of a run that nobody awaits. */
  hasSuspects (incarnation: string, getHeardAt: GetHeardAt): boolean {
    return this._abandoned.getAt(incarnation).some(run => mayHaveEnded(run, getHeardAt))
  }

  /** Records that a target goes on, so that what it ran before has not ended it. */
  recordAlive (incarnation: string): void {
    this._abandoned.removeAt(incarnation)
  }

  /** Removes a request that a target has answered from the crashes that were not evaluated yet. */
  clear (digest: string): void {
    for (const crash of this._crashes) crash.losses.delete(digest)
    this._abandoned.removeOf(digest)
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
    // Before any is compared with the others.
    for (const crash of this._crashes) if (!crash.isEvaluated) this._addAbandonedRuns(crash)
    for (const crash of this._crashes) {
      if (crash.isEvaluated || now - crash.startedAt < CRASH_WINDOW_MS) continue
      crash.isEvaluated = true
      if (!isCrash(crash)) {
        // The target may have reset one connection before it fell silent.
        for (const { request, at } of crash.lost) this._abandoned.add({ ...request, abandonedAt: at })
        continue
      }
      for (const [digest, loss] of crash.losses) {
        const isCounted = this._crashes.some(other => {
          return other.counted.has(digest) && isTogether(crash, other) && !isRetry(loss, other.losses.get(digest))
        })
        if (isCounted) continue
        crash.counted.add(digest)
        records.push({ digest, incarnation: crash.incarnation })
      }
    }
    this._removeOld(now)
    return records
  }

  /** Gets the evidence of the end of an incarnation that the store has shown. */
  infer (incarnation: string, getHeardAt: GetHeardAt, now: number): CrashRecord[] {
    const crash = createCrash(incarnation, now, { inProgress: 0, isInferred: true })
    const seen = this._crashes.find(known => known.incarnation === incarnation && known.isEvaluated && !known.isInferred && isCrash(known))
    for (const run of this._abandoned.getAt(incarnation)) {
      if (mayHaveEnded(run, getHeardAt) && (seen === undefined || isDuring(run, seen))) addLosses(crash, run)
    }
    this._abandoned.removeAt(incarnation)
    for (const [digest, loss] of crash.losses) {
      // Runs at the same time may have ended with the failure domain of their targets.
      const isCounted = this._crashes.some(other => other.counted.has(digest) && !isRetry(loss, other.losses.get(digest)))
      if (!isCounted) crash.counted.add(digest)
    }
    const records = [...crash.counted].map(digest => ({ digest, incarnation }))
    if (records.length > 0) {
      this._crashes.push(crash)
      this._inferred.set(incarnation, [...this._inferred.get(incarnation) ?? [], ...records])
      if (this._inferred.size > MAX_INFERRED) this._inferred.delete(this._inferred.keys().next().value!)
    }
    return records
  }

  /** Gets the evidence that a sign of life of an incarnation takes back, because its end was only inferred. */
  retract (incarnation: string): CrashRecord[] {
    const records = this._inferred.get(incarnation) ?? []
    if (records.length > 0) {
      this._inferred.delete(incarnation)
      this._crashes = this._crashes.filter(crash => crash.incarnation !== incarnation)
    }
    return records
  }

  /** Adds the runs that nobody awaited when a target crashed, and that it may still have had. */
  private _addAbandonedRuns (crash: Crash): void {
    for (const run of this._abandoned.getAt(crash.incarnation)) if (isDuring(run, crash)) addLosses(crash, run)
  }

  private _removeOld (now: number): void {
    while (this._crashes.length > 0 && now - this._crashes[0]!.startedAt > KEEP_MS) this._crashes.shift()
  }
}

function createCrash (
  incarnation: string, startedAt: number, { inProgress, isInferred = false }: { inProgress: number, isInferred?: boolean }
): Crash {
  return { incarnation, startedAt, inProgress, isInferred, lost: [], losses: new Map(), counted: new Set(), isEvaluated: isInferred }
}

function addLosses ({ losses }: Crash, { digests, sentAt, abandonedAt }: AbandonedRun): void {
  for (const digest of digests) {
    const earlier = losses.get(digest)
    losses.set(digest, { sentAt: Math.min(sentAt, earlier?.sentAt ?? sentAt), lostAt: earlier?.lostAt ?? abandonedAt })
  }
}

function isCrash (crash: Crash): boolean {
  return crash.lost.length >= crash.inProgress * MIN_LOST_SHARE
}

/** Checks whether a target may still have had a run when it crashed. */
function isDuring (run: AbandonedRun, crash: Crash): boolean {
  return run.sentAt <= crash.startedAt && run.abandonedAt >= crash.startedAt - ABANDONED_GRACE_MS
}

/** Checks whether one loss of a request was of its retry after the other. */
function isRetry (loss: Loss, other: Loss | undefined): boolean {
  return other !== undefined && (loss.sentAt >= other.lostAt || other.sentAt >= loss.lostAt)
}

function isTogether (crash: Crash, other: Crash): boolean {
  return !other.isInferred && Math.abs(other.startedAt - crash.startedAt) <= CRASH_WINDOW_MS
}
