/** Milliseconds for which the memory of a session stays held after its last call. */
export const HOLD_LEASE_MS = 60_000

/** Milliseconds for which a hold that nobody accounts for is left alone. */
export const UNLEASED_HOLD_GRACE_MS = 10_000

/** Share of the engine's memory above which idle holds are dropped early. */
export const MEMORY_HIGH_WATER = 0.9

/** Memory that the engine holds, by its own account. */
export interface EngineHold {
  readonly key: string
  readonly tokens: number
}

/** The engine's own list of holds. */
export interface EngineHolds {
  readonly holds: readonly EngineHold[]
  /** Tokens that the engine can hold in all. */
  readonly capacityTokens: number
}

interface Lease {
  expiresAt: number
  uses: number
}

/** Keeps leases on the engine memory of sessions, and finds holds whose release was lost. */
export class HoldTable {
  private readonly _leases = new Map<string, Lease>()
  private readonly _unleasedSince = new Map<string, number>()

  /** Notes that a call of the session starts to use its hold. */
  addUse (key: string): void {
    if (key === '') return
    const lease = this._leases.get(key) ?? { expiresAt: Infinity, uses: 0 }
    this._leases.set(key, { expiresAt: Infinity, uses: lease.uses + 1 })
  }

  /** Notes that a call of the session has ended; the hold is kept for the tool pause that follows. */
  removeUse (key: string, now: number): void {
    const lease = this._leases.get(key)
    if (lease === undefined) return
    lease.uses--
    if (lease.uses <= 0) lease.expiresAt = now + HOLD_LEASE_MS
  }

  /** Ends the lease of a session that is closed; returns whether the hold must be released now. */
  endLease (key: string): boolean {
    const lease = this._leases.get(key)
    if (lease === undefined || lease.uses > 0) {
      if (lease !== undefined) lease.expiresAt = 0
      return lease === undefined
    }
    this._leases.delete(key)
    return true
  }

  /** Tells whether a hold that is in use shall be released when its use ends. */
  isReleasePending (key: string): boolean {
    return this._leases.get(key)?.expiresAt === 0
  }

  /** Takes the keys whose leases have ended. */
  removeExpired (now: number): string[] {
    const expired = [...this._leases].filter(([, lease]) => lease.uses <= 0 && lease.expiresAt <= now).map(([key]) => key)
    for (const key of expired) this._leases.delete(key)
    return expired
  }

  /**
   * Compares the engine's own list with the leases.
   *
   * @returns Keys to release: holds without a lease past their grace, and idle ones while memory is short.
   */
  reconcile (engine: EngineHolds, now: number): string[] {
    return [...this._findUnleased(engine, now), ...this._findEvictable(engine)]
  }

  private _findUnleased (engine: EngineHolds, now: number): string[] {
    const listed = new Set(engine.holds.map(hold => hold.key))
    for (const key of this._unleasedSince.keys()) if (!listed.has(key)) this._unleasedSince.delete(key)
    const unleased: string[] = []
    for (const { key } of engine.holds) {
      if (this._leases.has(key)) {
        this._unleasedSince.delete(key)
        continue
      }
      const since = this._unleasedSince.get(key) ?? now
      this._unleasedSince.set(key, since)
      if (now - since >= UNLEASED_HOLD_GRACE_MS) unleased.push(key)
    }
    return unleased
  }

  /** Drops the holds that are cheapest to compute again until memory is below the high-water mark. */
  private _findEvictable (engine: EngineHolds): string[] {
    let excess = engine.holds.reduce((sum, hold) => sum + hold.tokens, 0) - MEMORY_HIGH_WATER * engine.capacityTokens
    const idle = engine.holds
      .filter(hold => (this._leases.get(hold.key)?.uses ?? 1) <= 0)
      .sort((a, b) => a.tokens - b.tokens)
    const evicted: string[] = []
    for (const hold of idle) {
      if (excess <= 0) break
      excess -= hold.tokens
      this._leases.delete(hold.key)
      evicted.push(hold.key)
    }
    return evicted
  }
}
