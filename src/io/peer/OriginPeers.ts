import type { StreamOrigin } from '../../core/origin/index.js'
import { queryPeers, type PeerQueryContext } from './queryPeers.js'

/**
 * Fetches the origins of streams from the memory of other gateways.
 *
 * Needed for streams whose row is not in the store: it is away, or the gateway that began the stream could not write the row yet.
 */
export class OriginPeers {
  private readonly _context: PeerQueryContext

  constructor (context: PeerQueryContext) {
    this._context = context
  }

  /** Gets the origin of a stream from the first peer that remembers it; undefined if none of those asked does. */
  async fetch (stream: string): Promise<StreamOrigin | undefined> {
    return await queryPeers(this._context, stream, async (procedures, options) => {
      return (await procedures.getOrigin.query({ stream }, options)).origin
    })
  }
}
