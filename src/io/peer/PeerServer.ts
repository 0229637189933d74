import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { createPeerRouter, type PeerRouterOptions } from './PeerRouter.js'

/** Largest call of a peer: a transaction of the store with its values in base64. */
const MAX_BODY_BYTES = 2_097_152

/** Lets peers use this gateway's own way to the store and the reserves that it holds. */
export class PeerServer {
  private readonly _server: Server

  constructor (options: PeerRouterOptions) {
    this._server = createServer(createHTTPHandler({ router: createPeerRouter(options), maxBodySize: MAX_BODY_BYTES }))
  }

  /** Starts to listen; returns the port, for a port of 0 the one that the operating system chose. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, resolve)
    })
    return (this._server.address() as AddressInfo).port
  }

  /** Closes the server with its connections. */
  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }
}
