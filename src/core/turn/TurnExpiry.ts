import type { RowKey } from '../platform/index.js'

/** Milliseconds for which a turn is kept beyond its retention, so that it is not removed while a caller still uses it. */
export const EXPIRY_MARGIN_MS = 30_000

/** Maximum number of rows that one transaction removes. */
export const REMOVES_PER_TRANSACTION = 100

interface ExpiringTurn {
  readonly keys: readonly RowKey[]
  readonly expiresAt: number
}

/** Tracks the rows of turns that this gateway wrote and when they may be removed. */
export class TurnExpiry {
  private readonly _expiringTurns: ExpiringTurn[] = []

  /** Adds the rows of a turn that is saved. */
  add (keys: readonly RowKey[], retentionMs: number, now: number): void {
    this._expiringTurns.push({ keys, expiresAt: now + retentionMs + EXPIRY_MARGIN_MS })
  }

  /** Removes expired turns of one partition from the list and returns the keys of their rows; empty when no turn has expired. */
  pollExpired (now: number): RowKey[] {
    const partition = this._expiringTurns.find(entry => entry.expiresAt <= now)?.keys[0]?.part
    const expiredKeys: RowKey[] = []
    for (let at = 0; at < this._expiringTurns.length;) {
      const { keys, expiresAt } = this._expiringTurns[at]!
      if (expiresAt > now || keys[0]?.part !== partition || expiredKeys.length + keys.length > REMOVES_PER_TRANSACTION) {
        at++
        continue
      }
      expiredKeys.push(...keys)
      this._expiringTurns.splice(at, 1)
    }
    return expiredKeys
  }
}
