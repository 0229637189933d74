import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** Milliseconds between two bytes of a stream that trickles. */
const TRICKLE_INTERVAL_MS = 50

/** Behaviour of a stand-in for one request. */
export type EngineBehaviour = 'answer' | 'reset' | 'break-off' | 'not-run' | 'unsigned' | 'other-request' | 'refuse-unproved' | 'hang' | 'cut-length' | 'fail' | 'trickle' | 'pause' | 'pause-reset' | 'pause-end' | 'pause-go-reset' | 'head-hang' | 'stall' | 'interim-leaving'

/** Request received by a stand-in. */
export interface EngineRun {
  readonly id: string
  readonly method: string
  readonly url: string
  readonly headers: NodeJS.Dict<string | string[]>
  readonly body: string
  /** True when the caller closed the connection before the response was complete. */
  isAbandoned: boolean
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
  private readonly _server: Server

  constructor (id: string) {
    this.id = id
    this._server = createServer((req, res) => { void this._serve(req, res) })
  }

  /** Starts the server on a free port; returns host and port. */
  async start (): Promise<string> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Stops the server and closes its connections. */
  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    const id = String(req.headers['x-request-id'])
    if (req.headers['x-target-instance'] !== this.id) {
      res.writeHead(421, { 'x-instance-id': this.id, 'x-request-id': id }).end()
      return
    }
    this.arrivals.push(performance.now())
    if (this.requestsPerSecond !== undefined) res.setHeader('server-limit', String(this.requestsPerSecond))
    if (this.statesLeaving) res.setHeader('server-leaving', '1')
    const behaviour = this.nextBehaviours.shift() ?? 'answer'
    if (behaviour === 'not-run') {
      res.writeHead(503, { 'x-not-executed': '1', 'x-request-id': id }).end()
      return
    }
    const body = Buffer.concat(chunks).toString()
    const run: EngineRun = { id, method: req.method!, url: req.url!, headers: req.headers, body, isAbandoned: false }
    this.runs.push(run)
    res.on('close', () => { run.isAbandoned = !res.writableFinished })
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
    if (behaviour === 'fail') res.writeHead(500).end('the target failed')
    else if (run.url.startsWith('/turns/')) await this._stream(run, res, behaviour)
    else if (behaviour === 'cut-length') res.writeHead(200, { 'content-length': 100 }).write('short', () => { res.destroy() })
    else if (this.workMs > 0) setTimeout(() => { res.writeHead(200).end(`answer to ${run.url}`) }, this.workMs)
    else res.writeHead(200).end(`answer to ${run.url}`)
  }

  private async _stream (run: EngineRun, res: ServerResponse, behaviour: EngineBehaviour): Promise<void> {
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    if (behaviour === 'head-hang') {
      res.flushHeaders()
      return
    }
    const lastEventId = Number(run.headers['last-event-id'] ?? 0)
    for (let index = lastEventId; index < this.events.length; index++) {
      if (index === lastEventId + 1) await this.gate
      if (index > lastEventId && this.eventGapMs > 0) await sleep(this.eventGapMs)
      res.write(`id: ${index + 1}\ndata: ${this.events[index]!}\n\n`)
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
