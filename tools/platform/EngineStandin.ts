import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** Milliseconds between two bytes of a stream that trickles. */
const TRICKLE_INTERVAL_MS = 50

/** Milliseconds between two parts of a response without a length, so that the first one arrives before a reset. */
const UNFRAMED_GAP_MS = 30

/** Paths on which a target states its health and its load. */
const HEALTH_PATHS: readonly string[] = ['/health', '/v1/report']

/** Behaviour of a stand-in for one request. */
export type EngineBehaviour = 'answer' | 'reset' | 'break-off' | 'not-run' | 'unsigned' | 'other-request' | 'refuse-unproved' | 'hang' | 'cut-length' | 'fail' | 'trickle' |
  'pause' | 'pause-reset' | 'pause-end' | 'pause-go-reset' | 'head-hang' | 'stall' | 'interim-leaving' |
  'unframed' | 'unframed-reset' | 'not-run-copied' | 'not-run-repeated'

/** Behaviours in which a target answers as its protocol allows. */
const SOUND_BEHAVIOURS: readonly EngineBehaviour[] = ['answer', 'unframed', 'fail', 'refuse-unproved']

/** Responds to the requests of a path instead of a stand-in's usual responses. */
export type EngineResponder = (run: EngineRun, res: ServerResponse, engine: EngineStandin) => void

/** Request received by a stand-in. */
export interface EngineRun {
  readonly id: string
  readonly method: string
  readonly url: string
  readonly headers: NodeJS.Dict<string | string[]>
  readonly body: string
  /** True when the caller closed the connection before the response was complete. */
  isAbandoned: boolean
  /** True when the target spoiled or broke off the response. */
  isBroken: boolean
  /** Time of the request, by the steady clock, in milliseconds. */
  readonly at: number
  /** Time at which the connection or the response ended. */
  endedAt?: number
}

/** HTTP server that simulates a target of the platform: a model engine for streamed turns, a plain service for other paths. */
export class EngineStandin {
  readonly id: string
  readonly runs: EngineRun[] = []
  /** Times of all requests that named this target, by the steady clock, in milliseconds. */
  readonly arrivals: number[] = []
  /** Request rate that the responses state; undefined for none. */
  requestsPerSecond: number | undefined
  /** True if the responses state that the target is leaving. */
  statesLeaving = false
  /** Behaviours of the next requests, in order of arrival; requests after the last one get a complete response. */
  readonly nextBehaviours: EngineBehaviour[] = []
  /** Data of the events that each stream sends. */
  events = ['first', 'second', 'third']
  /** Delays a stream after its first event until it resolves. */
  gate: Promise<void> = Promise.resolve()
  /** Milliseconds for which a stream that pauses sends nothing after its first event. */
  pauseMs = 0
  /** Milliseconds before the head of each response. */
  headDelayMs = 0
  /** Milliseconds before each event of a stream but the first. */
  eventGapMs = 0
  /** Milliseconds of work before the response of a plain service. */
  workMs = 0
  /** Responders by the start of the path. */
  readonly responders = new Map<string, EngineResponder>()
  /** Headers of all responses, such as the notice that the target leaves. */
  extraHeaders: Record<string, string> = {}
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  /** Refusals that are written once more before the next response on their connection. */
  private readonly _repeatedRefusals = new WeakMap<Socket, string>()
  private _port = 0
  private _isClosed = false
  private _isSilent = false
  /** Resolves when a frozen target goes on; undefined while it is not frozen. */
  private _frozen: Promise<void> | undefined

  constructor (id: string) {
    this.id = id
    this._server = createServer((req, res) => { void this._serve(req, res) })
    this._server.on('connection', socket => {
      this._sockets.add(socket)
      if (this._isSilent) mute(socket)
      if (this._frozen !== undefined) socket.cork()
      socket.on('error', () => {})
      socket.on('close', () => { this._sockets.delete(socket) })
    })
  }

  /** Starts the server on a free port; returns host and port. */
  async start (): Promise<string> {
    // A crash may be over after its test; a server that listens then would keep the process from ending.
    if (this._isClosed) return `127.0.0.1:${this._port}`
    this._isSilent = false
    await new Promise<void>(resolve => this._server.listen(this._port, '127.0.0.1', resolve))
    this._port = (this._server.address() as AddressInfo).port
    return `127.0.0.1:${this._port}`
  }

  /** Stops the server and closes its connections. */
  close (): void {
    this._isClosed = true
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Resets all connections and refuses new ones until {@link start}, which listens on the same port again. */
  crash (): void {
    for (const run of this.runs) if (run.endedAt === undefined) run.isBroken = true
    this._server.close()
    for (const socket of this._sockets) socket.resetAndDestroy()
  }

  /** Sends nothing any more and runs no further request, while all connections stay open. */
  silence (): void {
    for (const run of this.runs) if (run.endedAt === undefined) run.isBroken = true
    this._isSilent = true
    // Otherwise Node.js closes connections that are idle.
    this._server.keepAliveTimeout = 0
    for (const socket of this._sockets) mute(socket)
  }

  /** Falls silent, and resets its connections one after the other within some time. */
  async crashInTurn (withinMs: number): Promise<void> {
    const sockets = [...this._sockets]
    this._server.close()
    this.silence()
    for (const socket of sockets) {
      socket.resetAndDestroy()
      await sleep(withinMs / sockets.length)
    }
  }

  /** Sends nothing and runs no further request for a while; then goes on where it stopped. */
  async freeze (forMs: number): Promise<void> {
    const frozen = [...this._sockets]
    for (const socket of frozen) socket.cork()
    this._frozen = sleep(forMs)
    await this._frozen
    this._frozen = undefined
    for (const socket of this._sockets) while (socket.writableCorked > 0) socket.uncork()
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this._isSilent) return
    if (this._frozen !== undefined) {
      await this._frozen
      // A target drops the requests whose connection was closed meanwhile.
      if (req.socket.destroyed || this._isSilent) return
    }
    const chunks: Buffer[] = []
    try {
      for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    } catch {
      // The caller has closed the connection before the request was complete.
      return
    }
    const id = String(req.headers['x-request-id'])
    if (req.headers['x-target-instance'] !== this.id) {
      res.writeHead(421, { 'x-instance-id': this.id, 'x-request-id': id }).end()
      return
    }
    if (HEALTH_PATHS.includes(req.url!)) {
      res.writeHead(200, { 'x-instance-id': this.id, 'content-length': '0' }).end()
      return
    }
    this.arrivals.push(performance.now())
    if (this.requestsPerSecond !== undefined) res.setHeader('server-limit', String(this.requestsPerSecond))
    if (this.statesLeaving) res.setHeader('server-leaving', '1')
    for (const [name, value] of Object.entries(this.extraHeaders)) res.setHeader(name, value)
    const behaviour = this.nextBehaviours.shift() ?? 'answer'
    const refusal = `HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\nx-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`
    if (behaviour.startsWith('not-run')) {
      if (behaviour === 'not-run-repeated') this._repeatedRefusals.set(req.socket, refusal)
      res.writeHead(503, { 'x-not-executed': '1', 'x-request-id': id, 'content-length': '0' }).end(() => {
        if (behaviour === 'not-run-copied') req.socket.write(refusal)
      })
      return
    }
    const body = Buffer.concat(chunks).toString()
    const isBroken = !SOUND_BEHAVIOURS.includes(behaviour)
    const { method, url, headers } = req
    const run: EngineRun = { id, method: method!, url: url!, headers, body, isAbandoned: false, isBroken, at: performance.now() }
    this.runs.push(run)
    res.on('close', () => {
      run.isAbandoned = !res.writableFinished
      run.endedAt = performance.now()
    })
    const repeated = this._repeatedRefusals.get(req.socket)
    if (repeated !== undefined) {
      this._repeatedRefusals.delete(req.socket)
      run.isBroken = true
      req.socket.write(repeated)
    }
    for (const [prefix, respond] of this.responders) {
      if (!run.url.startsWith(prefix)) continue
      respond(run, res, this)
      return
    }
    await this._respond(run, res, behaviour)
  }

  private async _respond (run: EngineRun, res: ServerResponse, behaviour: EngineBehaviour): Promise<void> {
    if (behaviour === 'hang') return
    if (this.headDelayMs > 0) await sleep(this.headDelayMs)
    if (behaviour === 'interim-leaving') res.writeEarlyHints({ link: '</>; rel=preload', 'server-leaving': '1' })
    if (behaviour === 'reset') {
      res.destroy()
      return
    }
    if (behaviour === 'refuse-unproved') {
      res.writeHead(503, { 'x-request-id': run.id }).end()
      return
    }
    res.setHeader('x-request-id', behaviour === 'other-request' ? 'another' : run.id)
    if (behaviour !== 'unsigned') res.setHeader('x-response-signature', `signed-${run.id}`)
    if (behaviour === 'unframed' || behaviour === 'unframed-reset') await this._respondUnframed(run, res, behaviour === 'unframed-reset')
    else if (behaviour === 'fail') res.writeHead(500).end('the target failed')
    else if (run.url.startsWith('/turns/')) await this._stream(run, res, behaviour)
    else if (behaviour === 'cut-length') res.writeHead(200, { 'content-length': 100 }).write('short', () => { res.destroy() })
    else if (this.workMs > 0) setTimeout(() => { res.writeHead(200).end(`answer to ${run.url}`) }, this.workMs)
    else res.writeHead(200).end(`answer to ${run.url}`)
  }

  /** Responds with neither a length nor chunks; the response ends with its connection, or is reset after a part of it. */
  private async _respondUnframed (run: EngineRun, res: ServerResponse, isReset: boolean): Promise<void> {
    const lastEventId = Number(run.headers['last-event-id'] ?? 0)
    const body = run.url.startsWith('/turns/')
      ? this.events.flatMap((data, index) => index < lastEventId ? [] : [`id: ${index + 1}\ndata: ${data}\n\n`])
      : ['answer to ', run.url]
    const { socket } = res
    const headers = { ...res.getHeaders(), connection: 'close', ...(run.url.startsWith('/turns/') ? { 'content-type': 'text/event-stream' } : {}) }
    socket!.write(`HTTP/1.1 200 OK\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}\r\n`).join('')}\r\n`)
    for (const [index, part] of body.entries()) {
      if (isReset && index > 0) break
      socket!.write(part)
      await sleep(UNFRAMED_GAP_MS)
    }
    if (isReset) socket!.resetAndDestroy()
    else socket!.end()
  }

  private async _stream (run: EngineRun, res: ServerResponse, behaviour: EngineBehaviour): Promise<void> {
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    if (behaviour === 'head-hang') {
      res.flushHeaders()
      return
    }
    // A stream keeps the events with which it began.
    const { events } = this
    const lastEventId = Number(run.headers['last-event-id'] ?? 0)
    for (let index = lastEventId; index < events.length; index++) {
      if (index === lastEventId + 1) await this.gate
      if (index > lastEventId && this.eventGapMs > 0) await sleep(this.eventGapMs)
      res.write(`id: ${index + 1}\ndata: ${events[index]!}\n\n`)
      if (behaviour === 'stall' && index === lastEventId) return
      if (behaviour.startsWith('pause') && index === lastEventId) await sleep(this.pauseMs)
      if (behaviour === 'pause-go-reset' && index === lastEventId + 1) {
        await sleep(50)
        res.destroy()
        return
      }
      if (behaviour === 'pause-end' && index === lastEventId) {
        res.end('id: 9\nda')
        return
      }
      if (behaviour === 'pause-reset' && index === lastEventId) {
        res.destroy()
        return
      }
      if (behaviour === 'trickle' && index === lastEventId) {
        // Sends bytes that complete no event, until the caller closes.
        const timer = setInterval(() => { res.write(':') }, TRICKLE_INTERVAL_MS)
        res.on('close', () => { clearInterval(timer) })
        return
      }
      if (behaviour === 'break-off' && index === lastEventId) {
        // Sends a fragment of the next event before the connection is lost: a caller must not receive incomplete events.
        res.write('id: 9\nda', () => { res.destroy() })
        return
      }
    }
    res.end()
  }
}

/** Drops all that is written to a connection, and keeps it open. */
function mute (socket: Socket): void {
  Object.assign(socket, { write: () => true, end: () => socket, destroySoon: () => {} })
}
