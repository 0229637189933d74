/** Milliseconds for which the KV cache of a session is held after its last call. */
export const HOLD_LEASE_MS = 60_000

/** Milliseconds after which a hold without a lease is released. */
export const UNLEASED_HOLD_GRACE_MS = 10_000

/** Fraction of the engine's capacity above which idle holds are released before their leases expire. */
export const MEMORY_HIGH_WATER = 0.9

/** Expiry of a lease whose session was closed while a call used the hold. */
const ENDED = 0

/** KV cache that the engine holds for a session, as reported by the engine. */
export interface EngineHold {
  readonly key: string
  readonly tokens: number
}

/** List of holds as reported by the engine. */
export interface EngineHolds {
  readonly holds: readonly EngineHold[]
  /** Total number of tokens that the engine can hold. */
  readonly capacityTokens: number
}

interface Lease {
  expiresAt: number
  uses: number
}

/** Tracks a lease for each hold of a session, and finds holds that the engine still keeps because a release request was lost. */
export class HoldTable {
  private readonly _leases = new Map<string, Lease>()
  private readonly _unleasedSince = new Map<string, number>()

  /** Records that a call of the session has started to use its hold; the lease doesn't expire while the hold is in use. */
  addUse (key: string): void {
    if (key === '') return
    const lease = this._leases.get(key) ?? { expiresAt: Infinity, uses: 0 }
    this._leases.set(key, { expiresAt: lease.expiresAt === ENDED ? ENDED : Infinity, uses: lease.uses + 1 })
  }

  /** Records that a call of the session has ended; the hold is kept while a tool call may follow. */
  removeUse (key: string, now: number): void {
    const lease = this._leases.get(key)
    if (lease === undefined) return
    lease.uses--
    if (lease.uses <= 0 && lease.expiresAt !== ENDED) lease.expiresAt = now + HOLD_LEASE_MS
  }

  /** Ends the lease of a closed session; returns false if the hold must be kept because a call still uses it. */
  endLease (key: string): boolean {
    const lease = this._leases.get(key)
    if (lease === undefined || lease.uses > 0) {
      if (lease !== undefined) lease.expiresAt = ENDED
      return lease === undefined
    }
    this._leases.delete(key)
    return true
  }

  /** Checks whether the lease was ended while the hold was in use, and no call uses it any more. */
  isReleasePending (key: string): boolean {
    const lease = this._leases.get(key)
    return lease?.expiresAt === ENDED && lease.uses <= 0
  }

  /** Removes the expired leases and returns their keys. */
  removeExpired (now: number): string[] {
    const expired = [...this._leases].filter(([, lease]) => lease.uses <= 0 && lease.expiresAt <= now).map(([key]) => key)
    for (const key of expired) this._leases.delete(key)
    return expired
  }

  /**
   * Compares the holds reported by the engine with the leases.
   *
   * @returns Keys of the holds to release: those without a lease for longer than the grace period, and idle ones while
   * memory is above the high-water mark.
   */
  reconcile (engine: EngineHolds, now: number): string[] {
    return [...this._findUnleased(engine, now), ...this._evictIdle(engine)]
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

  /** Ends the leases of idle holds, those that are cheapest to recompute first, until memory is at the high-water mark. */
  private _evictIdle (engine: EngineHolds): string[] {
    let excessTokens = engine.holds.reduce((sum, hold) => sum + hold.tokens, 0) - MEMORY_HIGH_WATER * engine.capacityTokens
    const idle = engine.holds
      .filter(hold => (this._leases.get(hold.key)?.uses ?? 1) <= 0)
      .sort((a, b) => a.tokens - b.tokens)
    const evicted: string[] = []
    for (const hold of idle) {
      if (excessTokens <= 0) break
      excessTokens -= hold.tokens
      this._leases.delete(hold.key)
      evicted.push(hold.key)
    }
    return evicted
  }
}
