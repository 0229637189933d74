/** Half-life in milliseconds of a failure score; a target that goes down and up by turns is tried again within some seconds. */
const SCORE_HALF_LIFE_MS = 2_000

/** Factor by which one response lowers the failure score: a target that fails every second request stays doubtful. */
const RESPONSE_FACTOR = 0.5

/** Largest failure score; bounds the time for which a target is avoided to about five half-lives. */
const MAX_SCORE = 4

/** Score of a target of which several gateways have reported failures. */
const REPORTED_SCORE = 2

/** Score up to which a target counts as sound, and up to which two scores count as equal. */
const SOUND_SCORE = 0.05

/**
 * Cost in milliseconds of each point of the failure score, for a request that may be repeated.
 *
 * A failure costs it one more attempt, about as long as a request at a plain service takes.
 */
export const REPEATABLE_FAILURE_COST_MS = 50

/**
 * Cost in milliseconds of each point of the failure score, for a request that must not be repeated.
 *
 * A failure loses the request, and with it the work of its program, so that a wait of this length is better.
 */
export const UNREPEATABLE_FAILURE_COST_MS = 500

/**
 * Recent failures of a target, as a score that decays with time and with responses.
 *
 * Answers targets that fail a part of their requests, hang, or go down and up by turns, while others have capacity: requests that must not
 * be repeated go elsewhere as long as the target is doubtful, and those that may be repeated find out when it responds again.
 */
export class TargetHealth {
  private _score = 0
  private _scoredAt = -Infinity

  /** Gets the failure score: about the number of failures that no response followed within some seconds; 0 for a sound target. */
  getScore (now: number): number {
    const score = this._score * 0.5 ** (Math.max(0, now - this._scoredAt) / SCORE_HALF_LIFE_MS)
    return score < SOUND_SCORE ? 0 : score
  }

  /** Gets the expected cost in milliseconds of a failure of the next request at the target. */
  getCostMs (now: number, isRepeatable: boolean): number {
    return this.getScore(now) * (isRepeatable ? REPEATABLE_FAILURE_COST_MS : UNREPEATABLE_FAILURE_COST_MS)
  }

  /** Records a request that got no response, or whose response broke off. */
  recordFailure (now: number): void {
    this._set(this.getScore(now) + 1, now)
  }

  /** Records a response to a request of this gateway. */
  recordResponse (now: number): void {
    this._set(this.getScore(now) * RESPONSE_FACTOR, now)
  }

  /** Records that several gateways saw failures at a time; returns whether that is news. */
  recordReport (reportedAt: number, now: number): boolean {
    const score = REPORTED_SCORE * 0.5 ** (Math.max(0, now - reportedAt) / SCORE_HALF_LIFE_MS)
    if (score <= this.getScore(now) + SOUND_SCORE) return false
    this._set(score, now)
    return true
  }

  private _set (score: number, now: number): void {
    this._score = Math.min(MAX_SCORE, score)
    this._scoredAt = now
  }
}
