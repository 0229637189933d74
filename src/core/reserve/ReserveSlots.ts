import { createHash } from 'node:crypto'
import type { RowKey, RowTransaction, StoredRow } from '../platform/index.js'
import { rankByRendezvous } from '../routing/RendezvousHash.js'

/** Table that names the gateway which holds each slot of reserves. */
export const RESERVE_TABLE = 'reserves'

/** Slots over which programs are spread; several times the gateways, so that each holds about as many programs. */
export const RESERVE_SLOTS = 256

/** Slots that one transaction claims; the store takes 100 rows. */
const CLAIMS_PER_TRANSACTION = 100

/** Names the holder of each slot that has one. */
export type SlotHolders = ReadonlyMap<string, string>

/** Gets the slot in which a program's reserve lies. */
export function getReserveSlot (program: string): string {
  return String(createHash('sha1').update(program).digest().readUInt16BE(4) % RESERVE_SLOTS)
}

/** Gets the key of a slot's row. */
export function getSlotKey (slot: string): RowKey {
  return { table: RESERVE_TABLE, part: '', key: slot }
}

/** Reads the holders from rows of the table. */
export function decodeHolders (rows: readonly StoredRow[]): SlotHolders {
  return new Map(rows.map(row => [row.key, Buffer.from(row.value).toString('utf8')]))
}

/**
 * Plans claims of the slots that nobody holds and that fall to this gateway among all that are known.
 *
 * A slot is never taken from its holder: a paused holder may still lend from it.
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
