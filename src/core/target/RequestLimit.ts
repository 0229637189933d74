/** Relative difference from which a stated rate counts as a change; smaller ones are not worth a message to every gateway. */
const MIN_CHANGE = 0.1

/**
 * Request rate that a target accepts from all gateways together, as stated in its responses.
 *
 * Responses may overtake each other, so a response without a limit ends it only if its request was sent after the limit was last stated.
 */
export class RequestLimit {
  private _perSecond: number | undefined
  private _statedAt = -Infinity
  private _endedAt = -Infinity

  /** Gets the requests per second; undefined without a limit. */
  getPerSecond (): number | undefined {
    return this._perSecond
  }

  /** Gets the time at which the limit was last stated. */
  getStatedAt (): number {
    return this._statedAt
  }

  /**
   * Records a statement of the target and returns whether the limit has changed.
   *
   * @param perSecond - Rate that the target stated; undefined if it stated no limit.
   * @param sentAt - Time at which the request was sent whose response has the statement.
   */
  record (perSecond: number | undefined, sentAt: number, now: number): boolean {
    return perSecond === undefined ? this._recordEnd(sentAt, now) : this._recordRate(perSecond, sentAt, now)
  }

  private _recordRate (perSecond: number, sentAt: number, now: number): boolean {
    if (sentAt < this._endedAt) return false
    this._statedAt = now
    const previous = this._perSecond
    if (previous !== undefined && Math.abs(perSecond - previous) < MIN_CHANGE * previous) return false
    this._perSecond = perSecond
    return true
  }

  private _recordEnd (sentAt: number, now: number): boolean {
    if (this._perSecond === undefined || sentAt <= this._statedAt) return false
    this._perSecond = undefined
    this._endedAt = now
    return true
  }
}
