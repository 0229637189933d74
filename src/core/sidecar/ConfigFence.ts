/** Milliseconds for which work under the previous configuration version is still accepted after a new version has arrived. */
export const CONFIG_GRACE_MS = 8_000

/** Refuses work under outdated configuration versions; tracks the highest version received and its time of arrival. */
export class ConfigFence {
  private _version = 0
  private _receivedAt = -Infinity
  private _previousVersion = 0

  /** Gets the highest version received so far. */
  getVersion (): number {
    return this._version
  }

  /** Records a version unless it is lower than or equal to the highest one; returns whether it was recorded. */
  recordVersion (version: number, now: number): boolean {
    if (version <= this._version) return false
    this._previousVersion = this._version
    this._version = version
    this._receivedAt = now
    return true
  }

  /** Checks whether work under a version must be refused: below the previous version at once, otherwise after the grace period. */
  isStale (version: number, now: number): boolean {
    if (version >= this._version) return false
    if (version < this._previousVersion) return true
    return now - this._receivedAt >= CONFIG_GRACE_MS
  }
}
