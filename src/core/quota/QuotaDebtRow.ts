import { z } from 'zod'
import { decodeRow, type RowKey, type StoredRow } from '../platform/index.js'

/** Table in which each gateway records the debts that its buckets of quotas may use. */
export const QUOTA_DEBT_TABLE = 'quota-debts'

const DEBTS = z.object({ debts: z.record(z.string(), z.number().nonnegative()) })

/** Gets the key of a gateway's debts; a restarted gateway takes over its row. */
export function getQuotaDebtKey (gatewayId: string): RowKey {
  return { table: QUOTA_DEBT_TABLE, part: '', key: gatewayId }
}

/** Encodes debts, in tokens by workspace. */
export function encodeQuotaDebts (debts: ReadonlyMap<string, number>): Buffer {
  return Buffer.from(JSON.stringify({ debts: Object.fromEntries(debts) }))
}

/** Decodes a row of debts; undefined if the row is none. */
export function decodeQuotaDebts (row: StoredRow): ReadonlyMap<string, number> | undefined {
  const decoded = decodeRow(row, DEBTS)
  return decoded === undefined ? undefined : new Map(Object.entries(decoded.debts))
}
