/** Relative difference from which a stated rate counts as a change; smaller ones are not worth a message to every gateway. */
const MIN_CHANGE = 0.1

/** Statement of a target about the request rate that it accepts. */
export interface LimitStatement {
  /** Requests per second; undefined if the target stated no limit. */
  readonly perSecond: number | undefined
  /** Time at which the request was sent whose response has the statement, by the steady clock. */
  readonly sentAt: number
  /** Time at which the response arrived. */
  readonly statedAt: number
}

/**
 * Request rate that a target accepts from all gateways together, as stated in its responses.
 *
 * Responses may overtake each other, and statements reach a gateway through others. A statement is ignored if a newer one is known; one
 * without a limit counts only if its request was sent after the limit was last stated.
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

  /** Gets the time at which the request was sent whose response ended the latest limit. */
  getEndedAt (): number {
    return this._endedAt
  }

  /** Records a statement of the target and returns whether the limit has changed. */
  record (statement: LimitStatement): boolean {
    return statement.perSecond === undefined ? this._recordEnd(statement) : this._recordRate(statement.perSecond, statement)
  }

  private _recordRate (perSecond: number, { sentAt, statedAt }: LimitStatement): boolean {
    if (sentAt < this._endedAt || statedAt < this._statedAt) return false
    this._statedAt = statedAt
    const previous = this._perSecond
    if (previous !== undefined && Math.abs(perSecond - previous) < MIN_CHANGE * previous) return false
    this._perSecond = perSecond
    return true
  }

  private _recordEnd ({ sentAt }: LimitStatement): boolean {
    if (this._perSecond === undefined || sentAt <= this._statedAt) return false
    this._perSecond = undefined
    this._endedAt = sentAt
    return true
  }
}
