import { queryPeers, type PeerQueryContext } from './queryPeers.js'

/**
 * Fetches the transcripts of stored turns from the memory of other gateways.
 *
 * Needed during outages of the store for programs whose turns arrive at several gateways: callers retry at another gateway, which has not
 * cached the turn that the request continues from.
 */
export class TurnPeers {
  private readonly _context: PeerQueryContext

  constructor (context: PeerQueryContext) {
    this._context = context
  }

  /** Gets the transcript up to a turn from the first peer that has cached it; undefined if none of those asked has. */
  async fetch (turn: string): Promise<Buffer | undefined> {
    const transcript = await queryPeers(this._context, turn, async (procedures, options) => {
      return (await procedures.getTurn.query({ turn }, options)).transcript
    })
    return transcript === undefined ? undefined : Buffer.from(transcript, 'base64')
  }
}
