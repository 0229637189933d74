import { createServer, type Server } from 'node:http'
import type { Registry } from 'prom-client'
import { listen } from '../http/index.js'

/** Options of {@link StatusServer}. */
export interface StatusServerOptions {
  /** Path of the readiness check. */
  readonly readinessPath: string
  readonly isReady: () => boolean
  readonly registry: Registry
}

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
    return await this._listen(address, createServer((req, res) => {
      res.writeHead(req.url !== readinessPath ? 404 : isReady() ? 200 : 503, { 'content-length': 0 }).end()
    }))
  }

  /** Starts the server for metrics; returns its address. */
  async listenForMetrics (address: string): Promise<string> {
    const { registry } = this._options
    return await this._listen(address, createServer((req, res) => {
      void registry.metrics().then(text => {
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
    return await listen(server, address)
  }
}
