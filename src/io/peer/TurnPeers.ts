import type { Clock } from '../../core/clock/index.js'
import type { PeerRanking } from '../../core/peer/index.js'
import type { PeerPool } from './PeerPool.js'

/** Number of peers that are asked for a turn; callers stay within their region, so that its gateways come first. */
const MAX_ASKED_PEERS = 24

/** Time-out of one call to a peer, in milliseconds; allows for a round trip between regions and a transcript of some rows. */
const PEER_TIMEOUT_MS = 300

/** Options of {@link TurnPeers}. */
export interface TurnPeersOptions {
  readonly pool: PeerPool
  readonly ranking: PeerRanking
  readonly clock: Clock
}

/**
 * Fetches the transcripts of stored turns from the memory of other gateways.
 *
 * Needed during outages of the store for programs whose turns arrive at several gateways: callers retry at another gateway, which has not
 * cached the turn that the request continues from.
 */
export class TurnPeers {
  private readonly _options: TurnPeersOptions

  constructor (options: TurnPeersOptions) {
    this._options = options
  }

  /** Gets the transcript up to a turn from the first peer that has cached it; undefined if none of those asked has. */
  async fetch (turn: string): Promise<Buffer | undefined> {
    const { pool, ranking, clock } = this._options
    const candidates = ranking.getCandidates(MAX_ASKED_PEERS, clock.now())
    const calls = candidates.map(async ({ id }) => {
      const found = await pool.call(id, { subject: turn, timeoutMs: PEER_TIMEOUT_MS }, async (procedures, options) => {
        return await procedures.getTurn.query({ turn }, options)
      })
      // A rejection makes Promise.any wait for the other peers.
      if (found === undefined || found.transcript === null) throw new Error(`Peer ${id} has not cached turn ${turn}.`)
      return Buffer.from(found.transcript, 'base64')
    })
    return await Promise.any(calls).catch(() => undefined)
  }
}
