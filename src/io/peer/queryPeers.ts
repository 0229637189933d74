import type { Clock } from '../../core/clock/index.js'
import type { PeerRanking } from '../../core/peer/index.js'
import type { PeerCall, PeerPool } from './PeerPool.js'

/** Number of peers that one query asks; callers stay within their region, so that its gateways come first. */
const MAX_ASKED_PEERS = 24

/** Time-out of one call to a peer, in milliseconds; allows for a round trip between regions and a transcript of some rows. */
const PEER_TIMEOUT_MS = 300

/** Dependencies of {@link queryPeers}. */
export interface PeerQueryContext {
  readonly pool: PeerPool
  readonly ranking: PeerRanking
  readonly clock: Clock
}

/** Asks several peers for what one of them may have in memory; returns the first result, or undefined if none of them has it. */
export async function queryPeers<T> (context: PeerQueryContext, subject: string, call: PeerCall<T | null>): Promise<T | undefined> {
  const { pool, ranking, clock } = context
  const candidates = ranking.getCandidates(MAX_ASKED_PEERS, clock.now())
  const calls = candidates.map(async ({ id }) => {
    const found = await pool.call(id, { subject, timeoutMs: PEER_TIMEOUT_MS }, call)
    // A rejection makes Promise.any wait for the other peers.
    if (found === undefined || found === null) throw new Error(`Peer ${id} does not have ${subject}.`)
    return found
  })
  return await Promise.any(calls).catch(() => undefined)
}
