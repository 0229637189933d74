/** Converts times between the store's steady clock, which all gateways share over their restarts, and the steady clock of this process. */
export class StoreTime {
  private _offsetMs: number | undefined

  /** Records the time that a response of the store states. */
  record (timeMs: number | undefined, now: number): void {
    if (timeMs !== undefined) this._offsetMs = timeMs - now
  }

  /** Checks whether a response has stated the time. */
  isKnown (): boolean {
    return this._offsetMs !== undefined
  }

  /** Gets the time of the store for a time of this process; undefined before a response has stated one. */
  toStoreTime (time: number): number | undefined {
    return this._offsetMs === undefined ? undefined : time + this._offsetMs
  }

  /** Gets the time of this process for a time of the store; undefined before a response has stated one. */
  toLocalTime (storeTime: number): number | undefined {
    return this._offsetMs === undefined ? undefined : storeTime - this._offsetMs
  }
}
