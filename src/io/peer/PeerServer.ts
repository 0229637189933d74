import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { createPeerRouter, type PeerRouterOptions } from './PeerRouter.js'

/** Largest request body of a peer, in bytes: a transaction of the store with its values in base64. */
const MAX_BODY_BYTES = 2_097_152

/** Serves this gateway's direct connection to the store and its reserves to peers. */
export class PeerServer {
  private readonly _server: Server

  constructor (options: PeerRouterOptions) {
    this._server = createServer(createHTTPHandler({ router: createPeerRouter(options), maxBodySize: MAX_BODY_BYTES }))
  }

  /** Starts to listen and returns the port; for port 0, the operating system chooses a free one. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, resolve)
    })
    return (this._server.address() as AddressInfo).port
  }

  /** Closes the server and its open connections. */
  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }
}
