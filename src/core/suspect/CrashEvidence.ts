import { ABANDONED_GRACE_MS, mayHaveEnded, AbandonedRuns, type GetHeardAt, type AbandonedRun, type SentRun } from './AbandonedRuns.js'

/** Milliseconds within which targets that go down count as going down together, and all requests of one target as lost with it. */
export const CRASH_WINDOW_MS = 500

/** Share of the requests in progress at a target that have to be lost for its crash; fewer are connections that were lost on the way. */
const MIN_LOST_SHARE = 0.5

/** Milliseconds for which a crash is kept: longer than the rows of targets that went down together take to expire. */
const KEEP_MS = 10_000

/** Maximum number of incarnations whose inferred ends are kept, which a sign of life takes back. */
const MAX_INFERRED = 1_000

/** Maximum number of requests for which crashes that did not count are kept. */
const MAX_UNCOUNTED = 1_000

/** A request whose connection to a target was lost while the target ran it. */
export interface LostRequest extends SentRun {
  /** Other requests that are in progress at the target. */
  readonly others: number
  /** Number of targets that could have run the request. */
  readonly targets: number
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
  /** True if several requests that were lost there had the digest. */
  readonly isShared: boolean
}

interface Crash {
  readonly incarnation: string
  readonly startedAt: number
  /** Requests in progress at the target when the first one was lost. */
  readonly inProgress: number
  /** Number of targets that could have run them, the one that crashed included. */
  readonly targets: number
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
 * of their requests, except one that was sent to the second target after it had been lost at the first. When all targets go down
 * together for the first time, what several requests have in common does not count.
 */
export class CrashEvidence {
  private _crashes: Crash[] = []
  private readonly _abandoned = new AbandonedRuns()
  private readonly _inferred = new Map<string, CrashRecord[]>()
  /** Incarnations whose crashes did not count because others went down with them, by the requests that were lost there. */
  private readonly _uncounted = new Map<string, Set<string>>()
  /** Times of the outages of all targets that were not counted against what several requests had in common. */
  private readonly _outages = new Map<string, number>()

  /** Adds a lost request. */
  add (request: LostRequest, now: number): void {
    const { incarnation, others, targets } = request
    const recent = this._crashes.filter(known => !known.isInferred && now - known.startedAt <= CRASH_WINDOW_MS)
    let crash = recent.find(known => known.incarnation === incarnation)
    if (crash === undefined) {
      crash = createCrash(incarnation, now, { inProgress: others + 1, targets })
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
    this._uncounted.delete(digest)
    this._outages.delete(digest)
  }

  /** Gets the incarnations that went down with others while they ran a request, and whose crashes did not count. */
  getUncounted (digest: string): string[] {
    return [...this._uncounted.get(digest) ?? []]
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
        if (this._isExcused(crash, digest, loss)) continue
        if (isCounted) {
          if (!this._isOutage(crash)) addUncounted(this._uncounted, digest, crash.incarnation)
          continue
        }
        crash.counted.add(digest)
        records.push({ digest, incarnation: crash.incarnation })
      }
    }
    this._removeOld(now)
    return records
  }

  /** Gets the evidence of the end of an incarnation that the store has shown. */
  infer (incarnation: string, getHeardAt: GetHeardAt, now: number): CrashRecord[] {
    const crash = createCrash(incarnation, now, { inProgress: 0, targets: Infinity, isInferred: true })
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

  /** Checks whether all targets went down together with one. */
  private _isOutage (crash: Crash): boolean {
    const together = this._crashes.filter(other => isTogether(crash, other) && isCrash(other))
    return crash.targets > 1 && new Set(together.map(({ incarnation }) => incarnation)).size >= crash.targets
  }

  /**
   * Checks whether a crash does not count against what several requests had in common, as all targets went down together.
   *
   * Once only: callers that send a request that crashes targets may be as many as there are targets.
   */
  private _isExcused (crash: Crash, digest: string, { isShared }: Loss): boolean {
    if (!isShared || !this._isOutage(crash)) return false
    const first = this._outages.get(digest)
    if (first === undefined) setBounded(this._outages, digest, crash.startedAt)
    return Math.abs(crash.startedAt - (first ?? crash.startedAt)) <= CRASH_WINDOW_MS
  }

  private _removeOld (now: number): void {
    while (this._crashes.length > 0 && now - this._crashes[0]!.startedAt > KEEP_MS) this._crashes.shift()
  }
}

function createCrash (
  incarnation: string, startedAt: number,
  { inProgress, targets, isInferred = false }: Pick<Crash, 'inProgress' | 'targets'> & Partial<Pick<Crash, 'isInferred'>>
): Crash {
  const isEvaluated = isInferred
  return { incarnation, startedAt, inProgress, targets, isInferred, isEvaluated, lost: [], losses: new Map(), counted: new Set() }
}

function addLosses ({ losses }: Crash, { digests, shared, sentAt, abandonedAt }: AbandonedRun): void {
  for (const digest of digests) {
    const earlier = losses.get(digest)
    losses.set(digest, {
      sentAt: Math.min(sentAt, earlier?.sentAt ?? sentAt),
      lostAt: earlier?.lostAt ?? abandonedAt,
      isShared: digest === shared || earlier?.isShared === true
    })
  }
}

function addUncounted (uncounted: Map<string, Set<string>>, digest: string, incarnation: string): void {
  setBounded(uncounted, digest, new Set([...uncounted.get(digest) ?? [], incarnation]))
}

/** Sets an entry and evicts the oldest ones beyond the bound. */
function setBounded<T> (entries: Map<string, T>, key: string, value: T): void {
  entries.delete(key)
  entries.set(key, value)
  if (entries.size > MAX_UNCOUNTED) entries.delete(entries.keys().next().value!)
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
