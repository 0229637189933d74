import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createNetServer, type Server as NetServer, type Socket } from 'node:net'
import { ConnectionPhase, EndCause, type PhaseLimits, type StopSchedule } from '../../core/connection/index.js'
import { REQUEST_COST_BYTES, type ProcessLimits } from '../../core/limits/index.js'
import type { Refusal, RefusalReason } from '../../core/reason/index.js'
import { RouteKind, type CallerLimits } from '../../core/route/index.js'
import { ContentsInProgress, getSuspectDigests } from '../../core/suspect/index.js'
import { getKeyDigest } from '../../core/workspace/index.js'
import { listen } from '../http/index.js'
import { CallerConnections, type FullCause } from './CallerConnections.js'
import type { CallerConnection } from './CallerConnection.js'
import { Exchange, sendProblem, type ExchangeContext } from './Exchange.js'
import type { KeyAdmission, KeyGate } from './KeyGate.js'
import type { PlainForwarder } from './PlainForwarder.js'
import type { QuotaAdmission, QuotaGate } from './QuotaGate.js'
import { readHeldBody } from './readHeldBody.js'
import type { StreamForwarder } from './StreamForwarder.js'

/** Largest header block that the parser accepts; the configuration's limit is checked before and afterwards. */
const MAX_HEADER_BYTES = 65_536

/** Bytes of an incomplete head beyond the configuration's limit, which counts a head in another way than its bytes on the wire. */
const HEAD_MARGIN_BYTES = 1_024

/** Bytes of memory for each field of a head beside its text: two strings, and their places in lists of the parser and the gateway. */
const FIELD_COST_BYTES = 128

/** Seconds after which a caller may retry, at another gateway, while this one has no connection or request left. */
const FULL_RETRY_SECONDS = 0.5

/** Response to a connection for which there is no room; nothing of it was read. */
const FULL_RESPONSE = `HTTP/1.1 503 Service Unavailable\r\nRetry-After: ${FULL_RETRY_SECONDS}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`

/** Milliseconds and bytes for which a refused connection is read, so that its caller receives the refusal. */
const REFUSED_LINGER_MS = 1_000
const REFUSED_BYTES = 262_144

/** Milliseconds between two log lines about refused connections. */
const FULL_LOG_INTERVAL_MS = 1_000

/** Maximum number of connections that wait to be accepted: callers that come at once after a restart. */
const LISTEN_BACKLOG = 4_096

/** Milliseconds that an idle connection stays open beyond the configured time, so that it isn't closed while a request is on its way. */
const IDLE_MARGIN_MS = 1_000

/** Milliseconds for receiving the body of a request; several times the longest time-out of a route, which holds from the head on. */
const BODY_TIMEOUT_MS = 30_000

/** Time-outs until a configuration was read. */
const INITIAL_LIMITS: PhaseLimits = { idle: 5_000, head: 60_000, body: BODY_TIMEOUT_MS }

/** Seconds after which a caller may retry while no configuration was read. */
const NOT_READY_RETRY_SECONDS = 0.5

/** Seconds after which a caller may retry at another gateway while this one is stopping. */
const STOPPING_RETRY_SECONDS = 0.05

const HEAD_TIMEOUT = 'the head did not arrive in time'

/** Statuses for bytes that are not a valid request, by the parser's error code. */
const PARSE_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large'
}

type LogMembers = Readonly<Record<string, unknown>>

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  readonly context: ExchangeContext
  readonly plain: PlainForwarder
  readonly streams: StreamForwarder
  readonly keys: Pick<KeyGate, 'admit'>
  /** Admits requests of workspaces with a quota; without one, quotas are not kept. */
  readonly quotas?: Pick<QuotaGate, 'admit'>
  readonly limits: ProcessLimits
}

/** HTTP server for callers: decodes, checks and routes their requests. */
export class GatewayServer {
  private readonly _options: GatewayServerOptions
  private readonly _server: NetServer
  /** Parses requests; accepts no connections itself, so that it neither times them out nor closes them. */
  private readonly _parser: Server
  private readonly _connections: CallerConnections
  private _inProgress = 0
  /** Connections that are open only to be refused. */
  private _refusedConnections = 0
  private _fullLoggedAt = -Infinity
  private _fullSinceLogged = 0
  private readonly _contents = new ContentsInProgress()
  /** Set once the gateway is stopping. */
  private _stop: StopSchedule | undefined

  constructor (options: GatewayServerOptions) {
    this._options = options
    this._parser = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, headersTimeout: 0 })
    // Node.js drops the fields after the first thousand, among them perhaps the length of the body; heads are bounded by their bytes.
    this._parser.maxHeadersCount = 0
    this._parser.on('request', (req, res) => { void this._serve(req, res) })
    this._parser.on('clientError', (err: NodeJS.ErrnoException, socket) => { this._handleClientError(err, socket as Socket) })
    // With a listener, the parser closes no connection when its keep-alive time-out fires.
    this._parser.on('timeout', () => {})
    this._connections = new CallerConnections({
      clock: options.context.clock,
      limits: INITIAL_LIMITS,
      memory: options.context.memory,
      onRead: bytes => { options.context.garbage.add(bytes) },
      maxConnections: options.limits.connections,
      maxConnectionsPerAddress: options.limits.connectionsPerAddress,
      onStalled: connection => { this._handleStalled(connection) },
      onHeadTooLarge: connection => { this._refuseBytes(connection, PARSE_STATUS.HPE_HEADER_OVERFLOW!, 'headers-too-large', {}) },
      onHeadsFull: connection => { this._handleHeadsFull(connection) },
      onOverdue: (connection, phase) => { this._handleOverdue(connection, phase) },
      onEnd: ending => {
        options.context.log.info('connection-ended', { by: 'gateway', ...ending, config: options.context.configs.get()?.config.version })
      }
    })
    this._server = createNetServer({ allowHalfOpen: true, noDelay: true }, socket => {
      this._accept(socket)
    })
  }

  /** Starts to listen; returns the address. */
  async listen (address: string): Promise<string> {
    return await listen(this._server, address, { backlog: LISTEN_BACKLOG })
  }

  /** Applies the time-outs of a configuration; its size limits are checked for each request. */
  setLimits (limits: CallerLimits): void {
    // The parser announces its keep-alive time-out to callers; connections stay open for longer.
    this._parser.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    const phases = { idle: limits.idleTimeoutMs + 2 * IDLE_MARGIN_MS, head: limits.headerTimeoutMs, body: BODY_TIMEOUT_MS }
    this._connections.setLimits(phases, limits.headerBytes + HEAD_MARGIN_BYTES)
  }

  /** Accepts from now on only the requests that the schedule of a stop accepts, and closes connections after their last response. */
  setStopping (stop: StopSchedule): void {
    this._stop = stop
  }

  /** Checks whether the connection of a response is closed after it; no request that arrives later on it is accepted. */
  closesAfter (res: ServerResponse): boolean {
    if (this._stop === undefined) return false
    const connection = this._connections.get(res.req.socket)
    if (!connection.isLatest(res)) return false
    connection.markClosing(EndCause.Stop)
    return true
  }

  /** Stops accepting connections and closes idle ones. */
  stopListening (): void {
    this._server.close()
    this._connections.closeIdle()
  }

  /** Closes the connections without a request. */
  closeIdle (): void {
    this._connections.closeIdle()
  }

  /** Checks whether any connection is open. */
  hasConnections (): boolean {
    return this._connections.hasOpen()
  }

  /** Gets the number of open connections. */
  getConnections (): number {
    return this._connections.getSize()
  }

  /** Gets the number of requests in progress. */
  getInProgress (): number {
    return this._inProgress
  }

  private _accept (socket: Socket): void {
    const cause = this._connections.getFullCause(socket.remoteAddress ?? '')
    if (cause !== undefined) {
      this._refuseConnection(socket, cause)
      return
    }
    const connection = this._connections.add(socket)
    this._parser.emit('connection', socket)
    connection.startFeed()
  }

  /** Refuses a connection before anything of it is read; without room for that, closes it. */
  private _refuseConnection (socket: Socket, cause: FullCause): void {
    const { context, limits } = this._options
    context.metrics.fullConnections.inc({ cause })
    this._fullSinceLogged++
    const now = context.clock.now()
    if (now - this._fullLoggedAt >= FULL_LOG_INTERVAL_MS) {
      context.log.warn('connections-refused', { cause, count: this._fullSinceLogged, address: socket.remoteAddress })
      this._fullLoggedAt = now
      this._fullSinceLogged = 0
    }
    socket.on('error', () => {})
    if (this._refusedConnections >= limits.refusedConnections) {
      socket.destroy()
      return
    }
    this._refusedConnections++
    const timer = setTimeout(() => { socket.destroy() }, REFUSED_LINGER_MS)
    socket.on('close', () => {
      clearTimeout(timer)
      this._refusedConnections--
    })
    // Unread bytes would reset the connection before the caller has received the refusal.
    let size = 0
    socket.on('data', (data: Buffer) => {
      size += data.length
      if (size > REFUSED_BYTES) socket.destroy()
    })
    socket.end(FULL_RESPONSE)
  }

  /** Ends a connection that holds much and moves little; a request that was not received completely has not run. */
  private _handleStalled (connection: CallerConnection): void {
    this._options.context.metrics.stalledConnections.inc({ phase: connection.getPhase() })
    const receiving = connection.getReceiving()
    if (receiving === undefined || receiving.res.headersSent) {
      connection.endNow(EndCause.Memory)
      return
    }
    this._refuse(receiving.req, receiving.res, undefined, { reason: 'memory-full', retryAfterSeconds: FULL_RETRY_SECONDS })
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const connection = this._connections.get(req.socket)
    if (connection.isClosing()) {
      req.resume()
      return
    }
    connection.addRequest(req, res)
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
      const { context } = this._options
      context.log.warn('request-failed', { cause: err instanceof Error ? err.stack : String(err) })
      if (res.headersSent) res.destroy()
      else this._refuse(req, res, undefined, { reason: 'outcome-unknown' })
    }
  }

  private async _handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { context, keys } = this._options
    const arrivedAt = context.clock.now()
    const head = { method: req.method ?? '', url: req.url ?? '', rawHeaders: req.rawHeaders }
    const decoded = context.protocol.decodeRequest(head)
    if (decoded.isLeft()) {
      this._refuse(req, res, undefined, decoded.extract() as Refusal)
      return
    }
    const call = decoded.unsafeCoerce()
    const routeTable = context.configs.get()
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
    if (this._inProgress > this._options.limits.requests) {
      this._refuse(req, res, call.id, { reason: 'connections-full', retryAfterSeconds: FULL_RETRY_SECONDS })
      return
    }
    const { host, path, apiKey } = call
    const keyDigest = apiKey === undefined ? undefined : getKeyDigest(apiKey)
    const admit = async (): Promise<KeyAdmission> => await keys.admit({ host, path, route, keyDigest, arrivedAt })
    const admission = await admit()
    // The check may have waited: the body can be overdue by now, or the caller gone.
    if (res.headersSent || res.destroyed) return
    if (admission.isLeft()) {
      this._refuse(req, res, call.id, { ...admission.extract() as Refusal, members: { config: context.configs.get()?.config.version } })
      return
    }
    const workspace = admission.unsafeCoerce()
    const exchange = new Exchange({ context, req, res, call, route, configVersion: version, arrivedAt, workspace, admit })
    this._connections.get(req.socket).setRequestHeld(exchange.held)
    try {
      const cost = context.memory.openCost(req.socket.remoteAddress)
      const isHeld = cost.tryHold(REQUEST_COST_BYTES) && exchange.held.tryHold(getHeadCost(head))
      // The caller may have disconnected while its key was checked.
      if (res.closed) cost.release()
      else res.on('close', () => { cost.release() })
      if (isHeld) await this._forward(exchange, req, res, limits.bodyBytes)
      else this._refuse(req, res, call.id, { reason: 'memory-full', retryAfterSeconds: FULL_RETRY_SECONDS })
    } finally {
      exchange.holdUnsent()
    }
  }

  private async _forward (exchange: Exchange, req: IncomingMessage, res: ServerResponse, maxBytes: number): Promise<void> {
    const { call, route } = exchange
    const { context } = this._options
    const body = await readHeldBody(req, { maxBytes, held: exchange.held, res })
    // A request is refused while its body arrives; one that a refused request follows on the connection is still answered.
    if (res.headersSent) return
    if (body.isLeft()) {
      if (!exchange.callerDisconnected.aborted) this._refuse(req, res, call.id, body.extract() as Refusal)
      return
    }
    if (this._stop?.accepts(context.clock.now(), exchange.deadline) === false) {
      this._refuse(req, res, call.id, { reason: 'stopping', retryAfterSeconds: STOPPING_RETRY_SECONDS })
      return
    }
    // The key may have been removed while the body arrived.
    const refusal = await exchange.checkKey()
    if (refusal !== undefined) {
      exchange.refuse(refusal)
      return
    }
    const admission = await this._admit(exchange)
    if (admission === undefined) return
    const bytes = body.unsafeCoerce()
    const content = bytes.length === 0 && !hasBody(req) ? undefined : bytes
    const digests = getSuspectDigests({
      workspace: exchange.workspace?.name,
      program: call.program?.id,
      method: call.method,
      host: call.host,
      target: call.requestTarget,
      previousTurn: call.previousTurn,
      body: content
    })
    const contentUse = this._contents.begin(digests.content)
    exchange.suspect = { digests, address: req.socket.remoteAddress, contentUse }
    const end = (): void => { this._contents.end(digests.content, contentUse) }
    exchange.callerDisconnected.addEventListener('abort', end, { once: true })
    try {
      if (route.kind === RouteKind.Streaming) await this._options.streams.forward(exchange, content)
      else await this._options.plain.forward(exchange, content)
    } finally {
      end()
      if (exchange.isRefusedAsNotRun()) admission.giveBack()
    }
  }

  /** Counts the request against the quota of its workspace; undefined if it was refused, or its caller has disconnected. */
  private async _admit (exchange: Exchange): Promise<Extract<QuotaAdmission, { type: 'admitted' }> | undefined> {
    const { workspace, configVersion, callerDisconnected } = exchange
    const { quotas, streams } = this._options
    if (workspace === undefined || quotas === undefined) return { type: 'admitted', giveBack: () => {} }
    const isInProgress = isPartOfProgram(exchange) || streams.hasEarlierTurns(exchange)
    const admission = await quotas.admit(workspace, configVersion, { remainingMs: exchange.getRemainingMs(), isInProgress })
    if (admission.type === 'admitted') {
      if (!callerDisconnected.aborted) return admission
      admission.giveBack()
      return undefined
    }
    const { retryAfterSeconds } = admission
    const reason = admission.type === 'exceeded' ? 'quota-exceeded' : 'quota-unavailable'
    exchange.refuse({ reason, retryAfterSeconds, members: { workspace: workspace.name } })
    return undefined
  }

  /** Refuses a request before it is forwarded; the connection is closed when the body was not read completely. */
  private _refuse (req: IncomingMessage, res: ServerResponse, id: string | undefined, refusal: Refusal): void {
    const { context } = this._options
    context.metrics.addRefusal(refusal.reason)
    context.log.info('refused', { req: id, reason: refusal.reason, detail: refusal.detail, ...refusal.members })
    const closesConnection = !req.complete && hasBody(req)
    if (closesConnection) this._connections.get(req.socket).markClosing(EndCause.Refusal)
    sendProblem(context, res, id, refusal, closesConnection)
    req.resume()
  }

  private _handleClientError (err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const connection = this._connections.get(socket)
    // The parser reports an error again for all bytes that follow.
    if (connection.isClosing()) return
    const status = PARSE_STATUS[err.code ?? ''] ?? '400 Bad Request'
    const reason = status.startsWith('431') ? 'headers-too-large' : 'invalid-request'
    this._refuseBytes(connection, status, reason, { code: err.code, cause: err.message })
  }

  private _handleOverdue (connection: CallerConnection, phase: ConnectionPhase): void {
    const receiving = connection.getReceiving()
    if (receiving !== undefined) this._refuse(receiving.req, receiving.res, undefined, { reason: 'body-timeout' })
    else if (phase === ConnectionPhase.Head && connection.hasReceivedBytes()) {
      this._refuseBytes(connection, '408 Request Timeout', 'body-timeout', { cause: HEAD_TIMEOUT })
    } else connection.end(phase === ConnectionPhase.Head ? EndCause.HeaderTimeout : EndCause.Idle)
  }

  /** Refuses a head that is not complete and does not fit into the share of such heads; no part of a request has run. */
  private _handleHeadsFull (connection: CallerConnection): void {
    const { context } = this._options
    context.metrics.addRefusal('memory-full')
    context.log.info('bytes-refused', { cause: 'incomplete heads' })
    connection.refuseAndClose(FULL_RESPONSE, EndCause.Memory)
  }

  /** Refuses bytes that are no complete request, and ends the connection. */
  private _refuseBytes (connection: CallerConnection, status: string, reason: RefusalReason, members: LogMembers): void {
    const { context } = this._options
    context.metrics.addRefusal(reason)
    context.log.info('bytes-refused', members)
    connection.refuseBytes(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, reason === 'body-timeout' ? EndCause.HeaderTimeout : EndCause.Refusal)
  }
}

/** Checks whether earlier work of a program is lost with a request: a call of a tool, or a turn that continues another one. */
function isPartOfProgram ({ call, route }: Exchange): boolean {
  return route.kind !== RouteKind.Streaming || call.previousTurn !== undefined
}

function getHeaderBytes (head: { method: string, url: string, rawHeaders: readonly string[] }): number {
  // Each header has a colon, a space and a line break beside its name and value.
  return head.rawHeaders.reduce((sum, text) => sum + text.length + 2, head.method.length + head.url.length + 12)
}

function getHeadCost (head: { url: string, rawHeaders: readonly string[] }): number {
  return getHeaderBytes({ ...head, method: '' }) + head.rawHeaders.length / 2 * FIELD_COST_BYTES
}

function hasBody (req: IncomingMessage): boolean {
  return req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0
}
