import { DecayedCount } from './DecayedCount.js'

/** Share of the accepted requests for which there may be a retry. */
const RETRY_SHARE = 0.2

/** Retries a second whatever is accepted: single ones in calm are never delayed, and in an outage some find out when it is over. */
const FREE_PER_SECOND = 2

/** Largest number of unused retries that the budget accumulates; as many may follow each other at once. */
const MAX_UNUSED = 10

/** Longest time in milliseconds by which the budget puts a return off; callers return after at most a third of their time. */
const MAX_RETURN_MS = 4_000

/** Half-life in milliseconds of the acceptances that the budget grows with. */
const ACCEPTED_HALF_LIFE_MS = 3_000

/**
 * One budget for the retries of a service at one gateway: its own further attempts, and the returns of the callers that it refuses.
 *
 * Answers bursts and outages after which all callers return at once, and each of their requests is sent to several targets again. A caller
 * returns at another gateway, where its request looks like a new one; so the gateway that refuses it uses up a retry of its own budget, and
 * states the time at which that will be there.
 */
export class RetryPermits {
  private readonly _accepted = new DecayedCount(ACCEPTED_HALF_LIFE_MS)
  private _unused = MAX_UNUSED
  private _updatedAt = -Infinity

  /** Records a request that a target has accepted. */
  recordAccepted (now: number): void {
    this._accepted.add(now)
  }

  /** Uses up a retry for a further attempt; returns the milliseconds for which it has to wait, or undefined if they exceed `maxWaitMs`. */
  request (now: number, maxWaitMs: number): number | undefined {
    const waitMs = this._getWaitMs(now)
    if (waitMs > maxWaitMs) return undefined
    this._unused--
    return waitMs
  }

  /**
   * Uses up a retry for the return of a refused caller; returns the milliseconds after which it should return.
   *
   * @param waitMs - Milliseconds after which there is probably capacity for its request.
   * @param isInProgress - True if earlier work of the program would be lost: its return is not put off for the budget.
   */
  scheduleReturn (now: number, waitMs: number, isInProgress: boolean): number {
    const budgetMs = this._getWaitMs(now)
    // Returns that are put off for the longest time use up nothing that could be there by then.
    if (budgetMs < MAX_RETURN_MS) this._unused--
    return isInProgress ? waitMs : Math.max(waitMs, Math.min(MAX_RETURN_MS, budgetMs))
  }

  private _getWaitMs (now: number): number {
    const perSecond = FREE_PER_SECOND + RETRY_SHARE * this._accepted.getPerSecond(now)
    const seconds = this._updatedAt === -Infinity ? 0 : Math.max(0, now - this._updatedAt) / 1_000
    this._unused = Math.min(MAX_UNUSED, this._unused + seconds * perSecond)
    this._updatedAt = Math.max(this._updatedAt, now)
    return Math.max(0, 1 - this._unused) * 1_000 / perSecond
  }
}
