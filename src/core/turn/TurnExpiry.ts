import type { RowKey } from '../platform/index.js'

/** Milliseconds beyond its retention for which a turn is kept, so that no caller meets its removal. */
export const EXPIRY_MARGIN_MS = 30_000

/** Rows that one transaction removes at most. */
export const REMOVES_PER_TRANSACTION = 100

interface ExpiringTurn {
  readonly keys: readonly RowKey[]
  readonly expiresAt: number
}

/** Remembers which rows of turns this gateway wrote and when they may be removed. */
export class TurnExpiry {
  private readonly _expiringTurns: ExpiringTurn[] = []

  /** Notes the rows of a turn that was saved. */
  add (keys: readonly RowKey[], retentionMs: number, now: number): void {
    this._expiringTurns.push({ keys, expiresAt: now + retentionMs + EXPIRY_MARGIN_MS })
  }

  /** Takes the rows of one part whose turns have expired; empty when there are none. */
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
