import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Refusal } from '../../core/reason/index.js'
import { RouteKind, type CallerLimits, type ConfigHolder } from '../../core/route/index.js'
import { getSuspectDigest } from '../../core/suspect/index.js'
import { listen } from '../http/index.js'
import { Exchange, sendProblem, type ExchangeContext } from './Exchange.js'
import type { PlainForwarder } from './PlainForwarder.js'
import { readHeldBody } from './readHeldBody.js'
import type { StreamForwarder } from './StreamForwarder.js'

/** Largest header block that the parser accepts; the configuration's limit is checked afterwards. */
const MAX_HEADER_BYTES = 65_536

/** Maximum number of connections that wait to be accepted: callers that come at once after a restart. */
const LISTEN_BACKLOG = 4_096

/** Milliseconds between two checks for callers that take too long to send a request. */
const SLOW_CALLER_CHECK_MS = 500

/** Milliseconds that an idle connection stays open beyond the configured time, so that it isn't closed while a request is on its way. */
const IDLE_MARGIN_MS = 1_000

/** Milliseconds for receiving a complete request with its body, while the configured time-out of its route is not known yet. */
const REQUEST_TIMEOUT_MS = 30_000

/** Seconds after which a caller may retry while no configuration was read. */
const NOT_READY_RETRY_SECONDS = 0.5

/** Statuses for bytes that are not a valid request, by the parser's error code. */
const PARSE_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  readonly context: ExchangeContext
  readonly configs: ConfigHolder
  readonly plain: PlainForwarder
  readonly streams: StreamForwarder
}

/** HTTP server for callers: decodes, checks and routes their requests. */
export class GatewayServer {
  private readonly _options: GatewayServerOptions
  private readonly _server: Server
  private _inProgress = 0

  constructor (options: GatewayServerOptions) {
    this._options = options
    this._server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: SLOW_CALLER_CHECK_MS
    }, (req, res) => { void this._serve(req, res) })
    this._server.on('clientError', (err: NodeJS.ErrnoException, socket) => { this._handleClientError(err, socket as Socket) })
  }

  /** Starts to listen; returns the address. */
  async listen (address: string): Promise<string> {
    return await listen(this._server, address, { backlog: LISTEN_BACKLOG })
  }

  /** Applies the time-outs of a configuration; its size limits are checked for each request. */
  setLimits (limits: CallerLimits): void {
    this._server.headersTimeout = limits.headerTimeoutMs
    this._server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** Stops accepting connections and closes idle ones. */
  stopListening (): void {
    this._server.close()
    this._server.closeIdleConnections()
  }

  /** Gets the number of requests in progress. */
  getInProgress (): number {
    return this._inProgress
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    this._inProgress++
    this._options.context.metrics.inProgress.set(this._inProgress)
    let isOpen = true
    const done = (): void => {
      if (!isOpen) return
      isOpen = false
      this._inProgress--
      this._options.context.metrics.inProgress.set(this._inProgress)
    }
    // A request is in progress until its response was sent or its connection is closed.
    res.on('finish', done).on('close', done)
    try {
      await this._handle(req, res)
    } catch (err) {
      this._options.context.log.warn('request-failed', { cause: err instanceof Error ? err.stack : String(err) })
      res.destroy()
    }
  }

  private async _handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { context, configs } = this._options
    const head = { method: req.method ?? '', url: req.url ?? '', rawHeaders: req.rawHeaders }
    const decoded = context.protocol.decodeRequest(head)
    if (decoded.isLeft()) {
      this._refuse(req, res, undefined, decoded.extract() as Refusal)
      return
    }
    const call = decoded.unsafeCoerce()
    const routeTable = configs.get()
    if (routeTable === undefined) {
      this._refuse(req, res, call.id, { reason: 'not-ready', retryAfterSeconds: NOT_READY_RETRY_SECONDS })
      return
    }
    const { limits, version } = routeTable.config
    if (getHeaderBytes(head) > limits.headerBytes) {
      this._refuse(req, res, call.id, { reason: 'headers-too-large', members: { limitBytes: limits.headerBytes } })
      return
    }
    const route = routeTable.getRoute(call.host, call.path)
    if (route === undefined) {
      this._refuse(req, res, call.id, { reason: 'route-unknown', members: { config: version, host: call.host, path: call.path } })
      return
    }
    const exchange = new Exchange({ context, req, res, call, route, configVersion: version })
    try {
      await this._forward(exchange, req, res, limits.bodyBytes)
    } finally {
      exchange.held.release()
    }
  }

  private async _forward (exchange: Exchange, req: IncomingMessage, res: ServerResponse, maxBytes: number): Promise<void> {
    const { call, route } = exchange
    const body = await readHeldBody(req, { maxBytes, held: exchange.held })
    if (body.isLeft()) {
      if (!exchange.callerDisconnected.aborted) this._refuse(req, res, call.id, body.extract() as Refusal)
      return
    }
    const bytes = body.unsafeCoerce()
    const content = bytes.length === 0 && !hasBody(req) ? undefined : bytes
    exchange.suspectDigest = getSuspectDigest({
      caller: call.program?.id ?? req.socket.remoteAddress ?? '',
      method: call.method,
      host: call.host,
      target: call.requestTarget,
      previousTurn: call.previousTurn,
      body: content
    })
    if (route.kind === RouteKind.Streaming) await this._options.streams.forward(exchange, content)
    else await this._options.plain.forward(exchange, content)
  }

  /** Refuses a request before it is forwarded; the connection is closed when the body was not read completely. */
  private _refuse (req: IncomingMessage, res: ServerResponse, id: string | undefined, refusal: Refusal): void {
    const { context } = this._options
    context.metrics.addRefusal(refusal.reason)
    context.log.info('refused', { req: id, reason: refusal.reason, detail: refusal.detail, ...refusal.members })
    sendProblem(context, res, id, refusal, !req.complete && hasBody(req))
    req.resume()
  }

  private _handleClientError (err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const status = PARSE_STATUS[err.code ?? ''] ?? '400 Bad Request'
    const { context } = this._options
    context.metrics.addRefusal(status.startsWith('431') ? 'headers-too-large' : status.startsWith('408') ? 'body-timeout' : 'invalid-request')
    context.log.info('bytes-refused', { code: err.code, cause: err.message })
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}

function getHeaderBytes (head: { method: string, url: string, rawHeaders: readonly string[] }): number {
  // Each header has a colon, a space and a line break beside its name and value.
  return head.rawHeaders.reduce((sum, text) => sum + text.length + 2, head.method.length + head.url.length + 12)
}

function hasBody (req: IncomingMessage): boolean {
  return req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0
}
