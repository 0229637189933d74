import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import type { ByteBudget } from '../../core/limits/index.js'
import { listen } from '../http/index.js'
import { createPeerRouter, type PeerRouterOptions } from './PeerRouter.js'

/** Largest request body of a peer, in bytes: a transaction of the store with its values in base64. */
const MAX_BODY_BYTES = 2_097_152

/** Bytes of memory for each byte of a body that a peer sends: its text and the values that are decoded from it. */
const BODY_COST = 2

/** Status of a call that was not read because the bytes of all peers' calls are too many; peers treat it like one that failed. */
const FULL_STATUS = 503

/** Options of {@link PeerServer}. */
export interface PeerServerOptions extends PeerRouterOptions {
  readonly maxConnections?: number
  /** Bytes that the bodies of all calls in progress may hold; not bounded without it. */
  readonly memory?: ByteBudget
}

/** Serves this gateway's direct connection to the store and its reserves to peers. */
export class PeerServer {
  private readonly _server: Server

  private readonly _memory: ByteBudget | undefined

  constructor (options: PeerServerOptions) {
    this._memory = options.memory
    const handle = createHTTPHandler({ router: createPeerRouter(options), maxBodySize: MAX_BODY_BYTES })
    this._server = createServer((req, res) => { if (this._tryHold(req, res)) handle(req, res) })
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

  /** Holds the body of a call until its response was sent; refuses the call, which has not run then, if the budget does not cover it. */
  private _tryHold (req: IncomingMessage, res: ServerResponse): boolean {
    if (this._memory === undefined) return true
    const held = this._memory.open()
    const statedBytes = Number(req.headers['content-length'] ?? 0)
    // A body without a stated length, which no peer sends, may become as large as the largest.
    const bytes = req.headers['transfer-encoding'] === undefined ? Math.min(statedBytes, MAX_BODY_BYTES) : MAX_BODY_BYTES
    if (held.tryHold(bytes * BODY_COST)) {
      res.on('close', () => { held.release() })
      return true
    }
    res.writeHead(FULL_STATUS, { connection: 'close' }).end()
    req.resume()
    return false
  }
}
