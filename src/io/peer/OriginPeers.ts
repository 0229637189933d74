import type { Clock } from '../../core/clock/index.js'
import type { StreamOrigin } from '../../core/origin/index.js'
import type { PeerRanking } from '../../core/peer/index.js'
import type { PeerPool } from './PeerPool.js'

/** Number of peers that are asked; callers stay within their region, so that its gateways come first. */
const MAX_ASKED_PEERS = 24

/** Time-out of one call to a peer, in milliseconds; allows for a round trip between regions and a peer that many gateways ask at once. */
const PEER_TIMEOUT_MS = 400

/** Milliseconds for which streams are collected for one query: callers return together after their gateway was killed. */
const COLLECT_MS = 20

/** Maximum number of streams in one call. */
export const MAX_STREAMS_PER_CALL = 500

/** Options of {@link OriginPeers}. */
export interface OriginPeersOptions {
  readonly pool: Pick<PeerPool, 'call'>
  readonly ranking: Pick<PeerRanking, 'getCandidates'>
  readonly clock: Clock
}

/** A stream that is asked for. */
interface OriginQuery {
  readonly result: Promise<StreamOrigin | undefined>
  readonly resolve: (origin: StreamOrigin | undefined) => void
}

/**
 * Fetches the origins of streams from the memory of other gateways.
 *
 * Needed for streams whose row is not in the store: it is away, or the gateway that began the stream could not write the row yet. Answers
 * callers that all return at once: their streams share one call to each peer.
 */
export class OriginPeers {
  private readonly _options: OriginPeersOptions
  private _queries = new Map<string, OriginQuery>()

  constructor (options: OriginPeersOptions) {
    this._options = options
  }

  /** Gets the origin of a stream from the first peer that remembers it; undefined if none of those asked does. */
  async fetch (stream: string): Promise<StreamOrigin | undefined> {
    const existing = this._queries.get(stream)
    if (existing !== undefined) return await existing.result
    if (this._queries.size === 0 || this._queries.size === MAX_STREAMS_PER_CALL) this._collect()
    let resolve: OriginQuery['resolve'] = () => {}
    const result = new Promise<StreamOrigin | undefined>(_resolve => { resolve = _resolve })
    this._queries.set(stream, { result, resolve })
    return await result
  }

  /** Begins to collect the streams of the next query. */
  private _collect (): void {
    const queries = new Map<string, OriginQuery>()
    this._queries = queries
    setTimeout(() => {
      if (this._queries === queries) this._queries = new Map()
      void this._ask(queries)
    }, COLLECT_MS)
  }

  private async _ask (queries: ReadonlyMap<string, OriginQuery>): Promise<void> {
    const { pool, ranking, clock } = this._options
    const streams = [...queries.keys()]
    const subject = streams.length === 1 ? streams[0]! : `${streams.length} streams`
    await Promise.all(ranking.getCandidates(MAX_ASKED_PEERS, clock.now()).map(async ({ id }) => {
      // A peer that was slow a moment ago, because many asked it, is asked again: it may be the only one that knows.
      const origins = await pool.call(id, { subject, timeoutMs: PEER_TIMEOUT_MS, ignoresBackoff: true }, async (procedures, options) => {
        return await procedures.getOrigins.mutate({ streams }, options)
      })
      for (const [at, origin] of (origins ?? []).entries()) if (origin !== null) queries.get(streams[at]!)!.resolve(origin)
    }))
    for (const { resolve } of queries.values()) resolve(undefined)
  }
}
