import type { RowKey, StoredRow } from '../platform/index.js'

/** Table in which gateways tell each other where they listen. */
export const PEER_TABLE = 'gateways'

/** Where a gateway listens for its peers. */
export interface Peer {
  readonly id: string
  /** Host and port. */
  readonly address: string
  readonly failureDomain: string
}

/** Gets the key of a gateway's row; a gateway that starts again writes the same row. */
export function getPeerKey (id: string): RowKey {
  return { table: PEER_TABLE, part: '', key: id }
}

/** Encodes a gateway's row. */
export function encodePeer (peer: Peer): Buffer {
  return Buffer.from(JSON.stringify({ address: peer.address, failureDomain: peer.failureDomain }))
}

/** Decodes a gateway's row. */
export function decodePeer (row: StoredRow): Peer {
  const { address, failureDomain } = JSON.parse(Buffer.from(row.value).toString('utf8')) as Omit<Peer, 'id'>
  return { id: row.key, address, failureDomain }
}
