import { createHash } from 'node:crypto'
import type { RowKey, RowTransaction, StoredRow } from '../platform/index.js'
import { rankByRendezvous } from '../routing/RendezvousHash.js'

/** Table with the id of the gateway that holds each slot; a slot stands for the reserves of all programs that hash to it. */
export const RESERVE_TABLE = 'reserves'

/** Number of slots over which programs are distributed; several times the number of gateways, so that gateways hold similar shares. */
export const RESERVE_SLOTS = 256

/** All slots. */
const SLOTS: ReadonlySet<string> = new Set(Array.from({ length: RESERVE_SLOTS }, (_, slot) => String(slot)))

/** Maximum number of slots that one transaction claims; the store accepts up to 100 rows. */
const CLAIMS_PER_TRANSACTION = 100

/** Id of the holding gateway by slot; slots without a holder have no entry. */
export type SlotHolders = ReadonlyMap<string, string>

/** Gets the slot of a program's reserve. */
export function getReserveSlot (program: string): string {
  return String(createHash('sha1').update(program).digest().readUInt16BE(4) % RESERVE_SLOTS)
}

/** Gets the key of a slot's row. */
export function getSlotKey (slot: string): RowKey {
  return { table: RESERVE_TABLE, part: '', key: slot }
}

/** Decodes the holders from the rows of the table; rows that name no slot are ignored. */
export function decodeHolders (rows: readonly StoredRow[]): SlotHolders {
  return new Map(rows.filter(row => SLOTS.has(row.key)).map(row => [row.key, Buffer.from(row.value).toString('utf8')]))
}

/**
 * Plans claims of the slots that have no holder and that rendezvous hashing over the listed gateways assigns to this one.
 *
 * A slot is never reassigned, because a holder that is paused may resume and lend from it.
 */
export function planClaims (localId: string, gateways: readonly string[], holders: SlotHolders): RowTransaction[] {
  const claimableKeys: RowKey[] = []
  for (let at = 0; at < RESERVE_SLOTS; at++) {
    const slot = String(at)
    if (!holders.has(slot) && rankByRendezvous(slot, gateways)[0] === localId) claimableKeys.push(getSlotKey(slot))
  }
  const transactions: RowTransaction[] = []
  for (let at = 0; at < claimableKeys.length; at += CLAIMS_PER_TRANSACTION) {
    const keys = claimableKeys.slice(at, at + CLAIMS_PER_TRANSACTION)
    transactions.push({
      conditions: keys.map(key => ({ ...key, version: 0 })),
      puts: keys.map(key => ({ ...key, value: Buffer.from(localId) }))
    })
  }
  return transactions
}
