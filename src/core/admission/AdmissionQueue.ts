import { WorkShares } from './WorkShares.js'

/** Wait in milliseconds after which a request is taken by age; callers wait 1,500 ms or more, new programs for a part of it. */
export const ADMISSION_AGING_MS = 500

/** One in so many requests is taken by age among the less urgent kinds, so that none starves and the order holds for nearly all. */
export const TAKEN_PER_AGED = 8

/** Factor by which more capacity may be found than is predicted, so that a request is refused only if it would hardly be served in time. */
const CAPACITY_MARGIN = 1.25

/** Largest number of waiting requests of a service; at the capacity of a gateway's share they would wait far longer than callers do. */
const MAX_WAITING = 500

/** Shortest and longest wait in milliseconds that a refusal states; callers return after at most a third of the time they have left. */
const MIN_RETRY_WAIT_MS = 300
const MAX_RETRY_WAIT_MS = 3_000

/** A request that waits for capacity of its service. */
export interface WaitingRequest {
  /** Priority of the workspace, else of the route; 0 is the highest. */
  readonly priority: number
  /** True if earlier work of the program would be lost with the request. */
  readonly isInProgress: boolean
  /** True if the request is within the share of its workspace. */
  readonly isWithinShare: boolean
  /** True if the program can still finish within twice its time. */
  readonly isWorthwhile: boolean
  /** Time since which the request has waited, earlier attempts included. */
  readonly since: number
  /** Time until which it may wait. */
  readonly until: number
  /** Time by which it should be sent, if that is earlier: the program would be late after it. */
  readonly dueAt?: number | undefined
  /** Milliseconds for which it probably takes a place at a target; undefined if that is not known. */
  readonly workMs?: number | undefined
}

/** A waiting request that is to be refused, with the milliseconds after which there is probably capacity for it. */
export interface RefusedWait<T> {
  readonly req: T
  readonly waitMs: number
  /** True if it would have been in time, and is refused in favour of one with less work. */
  readonly isDisplaced: boolean
}

/**
 * Requests that wait for capacity of one service, in order of urgency.
 *
 * The order is by priority; within a priority, programs in progress go before new ones, requests within the share of their workspace before
 * those beyond it, and programs that can no longer finish go last; then by the time until which they can wait, and by arrival. One in
 * {@link TAKEN_PER_AGED} is the oldest of the less urgent kinds.
 *
 * Where the capacity does not suffice for all of a kind, the one with the most work is refused in place of the one that would be late
 * (Moore and Hodgson), as that serves the most; large requests still get their part (see {@link WorkShares}). In a replay of lookups whose
 * callers wait briefly beside charges and reservations, at 1.2 times the capacity of a gateway, 45% of the lookups were served in order of
 * arrival.
 */
export class AdmissionQueue<T extends WaitingRequest> {
  private _waiting: T[] = []
  private _takenSinceAged = 0
  private readonly _shares = new WorkShares()

  /** Gets the number of waiting requests. */
  getSize (): number {
    return this._waiting.length
  }

  /** Adds a request. */
  add (req: T): void {
    const at = this._waiting.findIndex(other => compare(req, other) < 0)
    this._waiting.splice(at === -1 ? this._waiting.length : at, 0, req)
  }

  /** Removes a request, whose caller has disconnected. */
  remove (req: T): void {
    this._waiting = this._waiting.filter(other => other !== req)
  }

  /** Removes and returns the next request of those that may be sent now; undefined if there is none. */
  take (now: number, canSend: (req: T) => boolean): T | undefined {
    const aged = this._takenSinceAged >= TAKEN_PER_AGED - 1 ? this._findAged(now, canSend) : undefined
    const first = aged ?? this._waiting.find(canSend)
    const req = aged ?? this._findUnderserved(first, now, canSend) ?? first
    if (req === undefined) return undefined
    this._takenSinceAged = aged === undefined ? this._takenSinceAged + 1 : 0
    this.remove(req)
    this._shares.recordServed(req.workMs, now)
    return req
  }

  /** Removes and returns the requests that will not be served within the time for which they may wait, at a predicted capacity. */
  takeRefused (now: number, perSecond: number): Array<RefusedWait<T>> {
    const refused: Array<RefusedWait<T>> = []
    let kept: T[] = []
    const requestMs = 1_000 / perSecond
    const getMs = (req: T): number => requestMs * this._shares.getSize(req.workMs)
    const isInTimeBehind = (ahead: number, { until }: T, waitMs: number): boolean =>
      now < until && (ahead === 0 || now + waitMs / CAPACITY_MARGIN <= until)
    const places = new Map(this._getLessUrgent().sort((a, b) => a.since - b.since).map((req, at) => [req, at + 1]))
    let keptMs = 0
    for (const req of this._waiting) {
      const place = places.get(req)
      const byAgeMs = place === undefined ? Infinity : Math.max(req.since + ADMISSION_AGING_MS - now, place * TAKEN_PER_AGED * requestMs)
      const predictedMs = Math.min(byAgeMs, keptMs + getMs(req))
      const isInTime = isInTimeBehind(kept.length, req, predictedMs)
      const larger = isInTime || now >= req.until ? undefined : this._findLarger(kept, req, now)
      // A request that would be late all the same must not cost another one its place.
      const isRoomEnough = larger !== undefined && isInTimeBehind(kept.length - 1, req, predictedMs - getMs(larger))
      const largest = isRoomEnough ? larger : undefined
      if ((isInTime && kept.length < MAX_WAITING) || largest !== undefined) {
        kept.push(req)
        keptMs += getMs(req)
      }
      if (isInTime && kept.at(-1) === req) continue
      const refusedReq = largest ?? req
      if (largest !== undefined) {
        kept = kept.filter(other => other !== largest)
        keptMs -= getMs(largest)
      }
      this._shares.recordRefused(refusedReq.workMs, now)
      const waitMs = Math.min(MAX_RETRY_WAIT_MS, Math.max(MIN_RETRY_WAIT_MS, predictedMs))
      refused.push({ req: refusedReq, waitMs, isDisplaced: refusedReq !== req })
    }
    this._waiting = kept
    return refused
  }

  /** Finds the request with the most work of those that are as urgent as one without room; undefined if none has much more. */
  private _findLarger (kept: readonly T[], req: T, now: number): T | undefined {
    let largest: T | undefined
    for (const other of kept) {
      if (isAsUrgent(other, req) && (other.workMs ?? 0) > (largest?.workMs ?? 0)) largest = other
    }
    return largest !== undefined && this._shares.mayReplace(largest.workMs, req.workMs, now) ? largest : undefined
  }

  /** Finds a large request as urgent as the next one if those are served too rarely; undefined otherwise. */
  private _findUnderserved (first: T | undefined, now: number, canSend: (req: T) => boolean): T | undefined {
    if (first === undefined || this._shares.isLarge(first.workMs) || !this._shares.isLargeUnderserved(now)) return undefined
    return this._waiting.find(req => isAsUrgent(req, first) && this._shares.isLarge(req.workMs) && canSend(req))
  }

  private _findAged (now: number, canSend: (req: T) => boolean): T | undefined {
    let oldest: T | undefined
    for (const req of this._getLessUrgent()) if (req.since < (oldest?.since ?? Infinity) && canSend(req)) oldest = req
    return oldest !== undefined && now - oldest.since >= ADMISSION_AGING_MS ? oldest : undefined
  }

  /** Gets the requests of less urgent kinds than the first one. */
  private _getLessUrgent (): T[] {
    const [first] = this._waiting
    return this._waiting.filter(req => first !== undefined && (req.priority > first.priority || getClass(req) > getClass(first)))
  }
}

function compare (a: WaitingRequest, b: WaitingRequest): number {
  return a.priority - b.priority || getClass(a) - getClass(b) || getDueAt(a) - getDueAt(b) || a.since - b.since
}

function isAsUrgent (a: WaitingRequest, b: WaitingRequest): boolean {
  return a.priority === b.priority && getClass(a) === getClass(b)
}

function getDueAt ({ dueAt = Infinity, until }: WaitingRequest): number {
  return Math.min(dueAt, until)
}

/** Gets the class of a request within its priority: what is lost with it, and whether its workspace has more than its share. */
function getClass ({ isInProgress, isWithinShare, isWorthwhile }: WaitingRequest): number {
  return (isWorthwhile ? 0 : 3) + (isInProgress ? 0 : 1) + (isWithinShare ? 0 : 1)
}
