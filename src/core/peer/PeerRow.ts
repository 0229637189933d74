import { z } from 'zod'
import { decodeRow, HOST_AND_PORT, type RowKey, type StoredRow } from '../platform/index.js'

/** Table in which gateways register the addresses that their peers connect to. */
export const PEER_TABLE = 'gateways'

/** Registration of a gateway for its peers. */
export interface Peer {
  readonly id: string
  /** Host and port on which the gateway listens for its peers. */
  readonly address: string
  readonly failureDomain: string
  /**
   * Time of the store's steady clock, in milliseconds, soon after the first registration under this id.
   *
   * Infinity until it is written, which JSON states as null; undefined if it is unknown and long ago.
   */
  readonly firstSeenAt?: number | undefined
}

/** Gets the key of a gateway's row; a restarted gateway overwrites its row. */
export function getPeerKey (id: string): RowKey {
  return { table: PEER_TABLE, part: '', key: id }
}

/** Encodes a peer as the value of its row. */
export function encodePeer (peer: Peer): Buffer {
  return Buffer.from(JSON.stringify({ address: peer.address, failureDomain: peer.failureDomain, firstSeenAt: peer.firstSeenAt }))
}

const PEER = z.object({
  address: HOST_AND_PORT,
  failureDomain: z.string(),
  firstSeenAt: z.number().nullable().transform(time => time ?? Infinity).optional()
})

/** Decodes a peer from its row; undefined if the row is no registration. */
export function decodePeer (row: StoredRow): Peer | undefined {
  const peer = decodeRow(row, PEER)
  return peer === undefined || row.key === '' ? undefined : { id: row.key, ...peer }
}
