/** Share of first attempts that may be followed by a retry. */
export const DEFAULT_RETRY_SHARE = 0.1

/** Largest number of retries saved up during quiet times. */
export const DEFAULT_RETRY_RESERVE = 10

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  readonly share?: number
  readonly reserve?: number
  /** Retries allowed before any first attempt. */
  readonly initial?: number
}

/** Bounds retries to a share of first attempts, so that failures never multiply the load. */
export class RetryBudget {
  private readonly _share: number
  private readonly _reserve: number
  private _credit: number

  constructor (options: RetryBudgetOptions = {}) {
    this._share = options.share ?? DEFAULT_RETRY_SHARE
    this._reserve = options.reserve ?? DEFAULT_RETRY_RESERVE
    this._credit = options.initial ?? 0
  }

  /** Notes a first attempt, which earns a share of a retry. */
  recordAttempt (): void {
    this._credit = Math.min(this._reserve, this._credit + this._share)
  }

  /** Takes one retry from the budget, if there is one. */
  tryConsume (): boolean {
    if (this._credit < 1) return false
    this._credit -= 1
    return true
  }
}
