/** Failures in a row that open the breaker. */
export const BREAKER_FAILURES = 5

/** Milliseconds for which an open breaker lets nothing through; afterwards one probe at a time passes. */
export const BREAKER_OPEN_MS = 1_000

/** Keeps requests from a dependency that does not answer. */
export class CircuitBreaker {
  private _consecutiveFailures = 0
  private _nextProbeAt = -Infinity

  /** Tells whether a request may pass now; while open, this lets one probe pass per period. */
  tryPass (now: number): boolean {
    if (this._consecutiveFailures < BREAKER_FAILURES) return true
    if (now < this._nextProbeAt) return false
    this._nextProbeAt = now + BREAKER_OPEN_MS
    return true
  }

  /** Notes an answer. */
  recordSuccess (): void {
    this._consecutiveFailures = 0
  }

  /** Notes a failure. */
  recordFailure (now: number): void {
    this._consecutiveFailures++
    if (this._consecutiveFailures === BREAKER_FAILURES) this._nextProbeAt = now + BREAKER_OPEN_MS
  }

  /** Tells whether requests are held back. */
  isOpen (): boolean {
    return this._consecutiveFailures >= BREAKER_FAILURES
  }
}
