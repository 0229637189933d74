/** Number of retries that each first attempt adds to the budget. */
export const DEFAULT_RETRY_SHARE = 0.1

/** Largest number of unused retries that the budget accumulates. */
export const DEFAULT_RETRY_RESERVE = 10

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  readonly share?: number
  readonly reserve?: number
  /** Number of retries allowed before the first attempt. */
  readonly initial?: number
}

/** Limits retries to a share of first attempts, so that failures do not multiply the load. */
export class RetryBudget {
  private readonly _share: number
  private readonly _reserve: number
  private _credit: number

  constructor (options: RetryBudgetOptions = {}) {
    this._share = options.share ?? DEFAULT_RETRY_SHARE
    this._reserve = options.reserve ?? DEFAULT_RETRY_RESERVE
    this._credit = options.initial ?? 0
  }

  /** Records a first attempt, which adds its share of a retry to the budget. */
  recordAttempt (): void {
    this._credit = Math.min(this._reserve, this._credit + this._share)
  }

  /** Removes one retry from the budget; returns false when none is available. */
  tryConsume (): boolean {
    if (this._credit < 1) return false
    this._credit -= 1
    return true
  }
}
