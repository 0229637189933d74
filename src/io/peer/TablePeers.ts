import { TRPCClientError } from '@trpc/client'
import type { Clock } from '../../core/clock/index.js'
import type { PeerRanking } from '../../core/peer/index.js'
import { StoreFailure, type RowSnapshot } from '../../core/platform/index.js'
import type { PeerPool } from './PeerPool.js'
import { decodeSnapshot } from './rowCodec.js'

/** Number of peers that are asked at once; one that reaches the store is enough. */
const MAX_ASKED_PEERS = 3

/** Milliseconds for which a peer waits for the store: some ten times what the store usually takes. */
const READ_TIMEOUT_MS = 250

/** Time-out of one call to a peer, in milliseconds; longer than its read, so that the peer can report that the store does not respond. */
const PEER_TIMEOUT_MS = 400

/** Messages by which a peer reports that it does not reach the store either. */
const AWAY_MESSAGES: readonly string[] = [StoreFailure.NoResponse, StoreFailure.Refused]

/** Result of {@link TablePeers.read}. */
export type PeerRead =
  | { readonly type: 'read', readonly snapshot: RowSnapshot }
  /** No peer has read the table, and at least one reports that it does not reach the store either. */
  | { readonly type: 'away' }
  /** No peer has responded. */
  | { readonly type: 'unreached' }

/** Options of {@link TablePeers}. */
export interface TablePeersOptions {
  readonly pool: Pick<PeerPool, 'call'>
  readonly ranking: Pick<PeerRanking, 'getCandidates'>
  readonly clock: Clock
}

/** Reads a table through peers before it is known that the direct connection to the store is unavailable. */
export class TablePeers {
  private readonly _options: TablePeersOptions

  constructor (options: TablePeersOptions) {
    this._options = options
  }

  /** Reads a table without partitions through the first peer that reaches the store. */
  async read (table: string): Promise<PeerRead> {
    const { ranking, clock } = this._options
    let isAway = false
    const calls = ranking.getCandidates(MAX_ASKED_PEERS, clock.now()).map(async ({ id }) => {
      const result = await this._readThrough(id, table)
      if (result === 'away') isAway = true
      // A rejection makes Promise.any wait for the other peers.
      if (result === undefined || result === 'away') throw new Error(`Peer ${id} has not read table ${table}.`)
      return result
    })
    const snapshot = await Promise.any(calls).catch(() => undefined)
    if (snapshot !== undefined) return { type: 'read', snapshot }
    return { type: isAway ? 'away' : 'unreached' }
  }

  private async _readThrough (id: string, table: string): Promise<RowSnapshot | 'away' | undefined> {
    // A peer that failed a moment ago is asked again: it may be the only one that reaches the store.
    const options = { subject: table, timeoutMs: PEER_TIMEOUT_MS, ignoresBackoff: true }
    return await this._options.pool.call(id, options, async (procedures, { signal }) => {
      try {
        return decodeSnapshot(await procedures.read.mutate({ table, part: '', timeoutMs: READ_TIMEOUT_MS }, { signal }))
      } catch (err) {
        if (err instanceof TRPCClientError && AWAY_MESSAGES.includes(err.message)) return 'away'
        throw err
      }
    })
  }
}
