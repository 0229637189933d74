import { ROWS_PER_TRANSACTION, type RowKey } from './RowStore.js'

/** Milliseconds for which rows are kept beyond their retention, so that they are not removed while a caller still uses them. */
export const EXPIRY_MARGIN_MS = 30_000

interface ExpiringEntry {
  readonly keys: readonly RowKey[]
  readonly expiresAt: number
}

/** Tracks rows that this gateway wrote and when they may be removed. */
export class RowExpiry {
  private readonly _expiringRows: ExpiringEntry[] = []

  /** Adds rows of one partition that are removed together. */
  add (keys: readonly RowKey[], retentionMs: number, now: number): void {
    this._expiringRows.push({ keys, expiresAt: now + retentionMs + EXPIRY_MARGIN_MS })
  }

  /** Removes expired rows of one partition from the list and returns their keys; empty when no row has expired. */
  pollExpired (now: number): RowKey[] {
    const partition = this._expiringRows.find(entry => entry.expiresAt <= now)?.keys[0]?.part
    const expiredKeys: RowKey[] = []
    for (let at = 0; at < this._expiringRows.length;) {
      const { keys, expiresAt } = this._expiringRows[at]!
      if (expiresAt > now || keys[0]?.part !== partition || expiredKeys.length + keys.length > ROWS_PER_TRANSACTION) {
        at++
        continue
      }
      expiredKeys.push(...keys)
      this._expiringRows.splice(at, 1)
    }
    return expiredKeys
  }
}
