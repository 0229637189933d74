/** Consecutive failures that open the breaker. */
export const BREAKER_FAILURES = 5

/** Milliseconds for which an open breaker rejects all requests; afterwards it allows one probe per such period. */
export const BREAKER_OPEN_MS = 1_000

/** Rejects requests to a dependency that does not respond. */
export class CircuitBreaker {
  private _consecutiveFailures = 0
  private _nextProbeAt = -Infinity

  /** Checks whether a request may pass; while the breaker is open, allows one probe per period. */
  tryPass (now: number): boolean {
    if (this._consecutiveFailures < BREAKER_FAILURES) return true
    if (now < this._nextProbeAt) return false
    this._nextProbeAt = now + BREAKER_OPEN_MS
    return true
  }

  /** Records a response, which closes the breaker. */
  recordSuccess (): void {
    this._consecutiveFailures = 0
  }

  /** Records a failure. */
  recordFailure (now: number): void {
    this._consecutiveFailures++
    if (this._consecutiveFailures === BREAKER_FAILURES) this._nextProbeAt = now + BREAKER_OPEN_MS
  }

  /** Checks whether the breaker is open. */
  isOpen (): boolean {
    return this._consecutiveFailures >= BREAKER_FAILURES
  }
}
