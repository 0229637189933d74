import type { Clock } from '../clock/index.js'
import { CellRate } from './CellRate.js'

/**
 * Lowest rate at which permits are granted, per second.
 *
 * A target that states less still gets a request now and then, since only its responses show that its limit has ended.
 */
export const MIN_PERMITS_PER_SECOND = 0.25

/** Requests that may be sent at once after a pause. */
const BURST = 2

/** Milliseconds without a request after which the schedule of a target is removed. */
const SCHEDULE_TTL_MS = 60_000

/** Number of schedules above which unused ones are removed. */
const SCHEDULES_BEFORE_SWEEP = 1_000

/** Longest wait in milliseconds that a refusal states. */
const MAX_WAIT_MS = 10_000

/**
 * Milliseconds by which a borrower may state its permits later than they are: the longest time that its request takes to the lender.
 *
 * Without it, each request that is slower than others would postpone all later permits.
 */
const HELD_TOLERANCE_MS = 200

/** Request for a permit to send one request to a target. */
export interface PermitRequest {
  /** Key of the target's incarnation. */
  readonly target: string
  /** Rate at which this ledger may grant permits for the target. */
  readonly perSecond: number
  /** Longest time in milliseconds for which the request may wait for its turn. */
  readonly maxWaitMs: number
  /** Milliseconds until the time of the latest permit that the borrower holds for the target, from any lender; 0 if it holds none. */
  readonly heldMs?: number
}

/** Answer to a request for a permit: the wait before the request may be sent, or the wait that a permit would need now. */
export type PermitResult =
  | { readonly type: 'granted', readonly waitMs: number }
  | { readonly type: 'refused', readonly waitMs: number }

interface Schedule {
  readonly rate: CellRate
  usedAt: number
}

/**
 * Grants permits for requests to targets that limit their request rate, by the generic cell rate algorithm.
 *
 * Answers the load of a service that gets more requests than its targets accept: requests that can wait get a time in order of arrival, and
 * the others learn at once that there is no permit and when there may be one.
 *
 * A ledger that takes the place of another one learns from the borrowers until when that one has granted permits, and grants later ones.
 */
export class PermitLedger {
  private readonly _clock: Clock
  private readonly _schedules = new Map<string, Schedule>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Grants the next permit for a target if the request can wait for it. */
  request ({ target, perSecond, maxWaitMs, heldMs = 0 }: PermitRequest): PermitResult {
    const now = this._clock.now()
    const intervalMs = 1_000 / Math.max(MIN_PERMITS_PER_SECOND, perSecond)
    const burstMs = (BURST - 1) * intervalMs
    const schedule = this._getSchedule(target, now, burstMs)
    const heldNextAt = now + heldMs + intervalMs + burstMs
    if (heldMs > 0 && heldNextAt - schedule.rate.getNextAt() > HELD_TOLERANCE_MS) schedule.rate.postpone(heldNextAt)
    const waitMs = schedule.rate.getWaitMs(now, burstMs)
    if (waitMs > maxWaitMs) return { type: 'refused', waitMs: Math.min(MAX_WAIT_MS, waitMs) }
    schedule.rate.add(now, intervalMs)
    return { type: 'granted', waitMs }
  }

  private _getSchedule (target: string, now: number, burstMs: number): Schedule {
    if (this._schedules.size > SCHEDULES_BEFORE_SWEEP) this._sweep(now)
    const existing = this._schedules.get(target)
    if (existing !== undefined) {
      existing.usedAt = now
      return existing
    }
    // Starts without a burst: the target has just had more requests than it accepts, or permits of another gateway.
    const schedule = { rate: new CellRate(now + burstMs), usedAt: now }
    this._schedules.set(target, schedule)
    return schedule
  }

  private _sweep (now: number): void {
    for (const [target, { usedAt }] of this._schedules) if (now - usedAt > SCHEDULE_TTL_MS) this._schedules.delete(target)
  }
}
