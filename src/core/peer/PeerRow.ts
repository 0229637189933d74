import type { RowKey, StoredRow } from '../platform/index.js'

/** Table in which gateways register the addresses that their peers connect to. */
export const PEER_TABLE = 'gateways'

/** Registration of a gateway for its peers. */
export interface Peer {
  readonly id: string
  /** Host and port on which the gateway listens for its peers. */
  readonly address: string
  readonly failureDomain: string
}

/** Gets the key of a gateway's row; a restarted gateway overwrites its row. */
export function getPeerKey (id: string): RowKey {
  return { table: PEER_TABLE, part: '', key: id }
}

/** Encodes a peer as the value of its row. */
export function encodePeer (peer: Peer): Buffer {
  return Buffer.from(JSON.stringify({ address: peer.address, failureDomain: peer.failureDomain }))
}

/** Decodes a peer from its row. */
export function decodePeer (row: StoredRow): Peer {
  const { address, failureDomain } = JSON.parse(Buffer.from(row.value).toString('utf8')) as Omit<Peer, 'id'>
  return { id: row.key, address, failureDomain }
}
