import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** How a stand-in answers the next request. */
export type EngineBehaviour = 'answer' | 'reset' | 'break-off' | 'not-run' | 'unsigned' | 'other-request' | 'refuse-unproved' | 'hang' | 'cut-length' | 'fail'

/** One request as the stand-in received it. */
export interface EngineRun {
  readonly id: string
  readonly method: string
  readonly url: string
  readonly headers: NodeJS.Dict<string | string[]>
  readonly body: string
  /** True when the caller closed the connection before the answer ended. */
  isAbandoned: boolean
}

/** Stand-in for a target of the platform: a model engine for streams, a plain service for the rest. */
export class EngineStandin {
  readonly id: string
  readonly runs: EngineRun[] = []
  /** Behaviours of the next requests; afterwards they are answered. */
  readonly nextBehaviours: EngineBehaviour[] = []
  /** Data of the events of each stream. */
  events = ['first', 'second', 'third']
  /** Resolves when a stream may go on after its first event. */
  gate: Promise<void> = Promise.resolve()
  private readonly _server: Server

  constructor (id: string) {
    this.id = id
    this._server = createServer((req, res) => { void this._serve(req, res) })
  }

  /** Starts to listen; returns host and port. */
  async start (): Promise<string> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Ends the stand-in. */
  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    const id = String(req.headers['x-request-id'])
    if (req.headers['x-target-instance'] !== this.id) {
      res.writeHead(421, { 'x-instance-id': this.id }).end()
      return
    }
    const behaviour = this.nextBehaviours.shift() ?? 'answer'
    if (behaviour === 'not-run') {
      res.writeHead(503, { 'x-not-executed': '1' }).end()
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
    else res.writeHead(200).end(`answer to ${run.url}`)
  }

  private async _stream (run: EngineRun, res: ServerResponse, behaviour: EngineBehaviour): Promise<void> {
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    const lastEventId = Number(run.headers['last-event-id'] ?? 0)
    for (let index = lastEventId; index < this.events.length; index++) {
      if (index === lastEventId + 1) await this.gate
      res.write(`id: ${index + 1}\ndata: ${this.events[index]!}\n\n`)
      if (behaviour === 'break-off' && index === lastEventId) {
        // A piece of the next event shows that only whole events may be passed on.
        res.write('id: 9\nda', () => { res.destroy() })
        return
      }
    }
    res.end()
  }
}
