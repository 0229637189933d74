/** Milliseconds after which a superseded configuration version is refused. */
export const CONFIG_GRACE_MS = 8_000

/** Remembers the highest configuration version heard of and since when it has been known. */
export class ConfigFence {
  private _version = 0
  private _receivedAt = -Infinity
  private _previousVersion = 0

  /** Gets the highest version heard of. */
  getVersion (): number {
    return this._version
  }

  /** Notes a version; a lower one than the highest is ignored. Returns true when it is new. */
  recordVersion (version: number, now: number): boolean {
    if (version <= this._version) return false
    this._previousVersion = this._version
    this._version = version
    this._receivedAt = now
    return true
  }

  /** Tells whether work under a version must be refused. */
  isStale (version: number, now: number): boolean {
    if (version >= this._version) return false
    if (version < this._previousVersion) return true
    return now - this._receivedAt >= CONFIG_GRACE_MS
  }
}
