import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { Agent, fetch } from 'undici'
import type { Peer } from '../../core/peer/index.js'
import type { PeerRouter } from './PeerRouter.js'

/** Time-out for opening a connection to a peer, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300

/** Calls the procedures of a peer. */
export class PeerClient {
  readonly procedures: TRPCClient<PeerRouter>
  private readonly _agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })

  constructor (peer: Peer) {
    this.procedures = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${peer.address}`,
        fetch: async (input, init) => await this._fetch(input as string, init as Parameters<typeof fetch>[1])
      })]
    })
  }

  /** Closes the connections to the peer. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private async _fetch (url: string, init: Parameters<typeof fetch>[1]): Promise<Response> {
    // The types of undici and of the built-in fetch differ in name only.
    return await fetch(url, { ...init, dispatcher: this._agent }) as unknown as Response
  }
}
