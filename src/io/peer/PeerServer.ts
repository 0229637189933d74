import { createServer, type Server } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { listen } from '../http/index.js'
import { createPeerRouter, type PeerRouterOptions } from './PeerRouter.js'

/** Largest request body of a peer, in bytes: a transaction of the store with its values in base64. */
const MAX_BODY_BYTES = 2_097_152

/** Serves this gateway's direct connection to the store and its reserves to peers. */
export class PeerServer {
  private readonly _server: Server

  constructor (options: PeerRouterOptions & { readonly maxConnections?: number }) {
    this._server = createServer(createHTTPHandler({ router: createPeerRouter(options), maxBodySize: MAX_BODY_BYTES }))
    if (options.maxConnections !== undefined) this._server.maxConnections = options.maxConnections
  }

  /** Starts to listen; returns the address. */
  async listen (address: string): Promise<string> {
    return await listen(this._server, address)
  }

  /** Closes the server and its open connections. */
  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }
}
