import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Registry } from 'prom-client'
import { listen } from '../http/index.js'

/** Options of {@link StatusServer}. */
export interface StatusServerOptions {
  /** Path of the readiness check. */
  readonly readinessPath: string
  readonly isReady: () => boolean
  readonly registry: Registry
  /** Largest number of connections of each of the two servers. */
  readonly maxConnections: number
}

/** Largest head, time for a request in milliseconds, and between two requests: checks are small and come from near. */
const MAX_HEAD_BYTES = 8_192
const REQUEST_TIMEOUT_MS = 3_000
const KEEP_ALIVE_TIMEOUT_MS = 15_000

/** Milliseconds between two checks of these times, and milliseconds without any byte after which a connection is closed. */
const CHECK_INTERVAL_MS = 500
const SILENCE_TIMEOUT_MS = 20_000

/** Options of the servers. */
const SERVER_OPTIONS = {
  maxHeaderSize: MAX_HEAD_BYTES,
  headersTimeout: REQUEST_TIMEOUT_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  connectionsCheckingInterval: CHECK_INTERVAL_MS
} as const

/** Serves the balancer's readiness check and the metrics. */
export class StatusServer {
  private readonly _options: StatusServerOptions
  private readonly _servers: Server[] = []

  constructor (options: StatusServerOptions) {
    this._options = options
  }

  /** Starts the server for readiness checks; returns its address. */
  async listenForReadiness (address: string): Promise<string> {
    const { readinessPath, isReady } = this._options
    return await this._listen(address, createServer(SERVER_OPTIONS, (req, res) => {
      if (!accepts(req, res)) return
      res.writeHead(req.url !== readinessPath ? 404 : isReady() ? 200 : 503, { 'content-length': 0 }).end()
    }))
  }

  /** Starts the server for metrics; returns its address. */
  async listenForMetrics (address: string): Promise<string> {
    const { registry } = this._options
    let pending: Promise<string> | undefined
    return await this._listen(address, createServer(SERVER_OPTIONS, (req, res) => {
      if (!accepts(req, res)) return
      // Requests that come together share one text.
      pending ??= registry.metrics().finally(() => { pending = undefined })
      void pending.then(text => {
        res.writeHead(200, { 'content-type': registry.contentType }).end(text)
      })
    }))
  }

  /** Closes both servers with their connections. */
  close (): void {
    for (const server of this._servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  private async _listen (address: string, server: Server): Promise<string> {
    this._servers.push(server)
    const sockets = new Set<Socket>()
    server.on('connection', (socket: Socket) => {
      sockets.add(socket)
      socket.setTimeout(SILENCE_TIMEOUT_MS, () => { socket.destroy() })
      socket.on('close', () => { sockets.delete(socket) })
      // The oldest connection makes room, so that those who keep connections open do not keep the balancer's check out.
      if (sockets.size <= this._options.maxConnections) return
      const [oldest] = sockets
      sockets.delete(oldest!)
      oldest!.destroy()
    })
    return await listen(server, address)
  }
}

/** Checks whether a request is a check: one without a body, and the only one in progress on its connection; others close the connection. */
function accepts (req: IncomingMessage, res: ServerResponse): boolean {
  const hasBody = req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0
  const isPipelined = res.socket !== req.socket
  if (!hasBody && !isPipelined) return true
  req.socket.destroy()
  return false
}
