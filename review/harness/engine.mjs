// Stand-in of an engine: registers itself, runs requests that name it, echoes their id and signs its answers.
import { randomBytes } from 'node:crypto'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

export class Engine {
  /**
   * @param options - `service`, `id`, `store`, `recorder`, and `run`, called as `run(req, res, call, engine)` for each
   * request that the engine runs.
   */
  constructor (options) {
    Object.assign(this, { slots: 12, zone: 'luzern', version: 'v1', born: Date.now(), runs: [], ...options })
    this._server = createServer((req, res) => { void this._serve(req, res) })
    this._server.keepAliveTimeout = 20_000
    this._sockets = new Set()
    this._server.on('connection', socket => { this._sockets.add(socket); socket.on('close', () => this._sockets.delete(socket)) })
  }

  async start () {
    await new Promise(resolve => this._server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this._server.address().port}`
    this.register()
  }

  /** Writes the entry of the engine in the store. */
  register (state = 'ready') {
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state,
      coldLeftMs: 0,
      callSeq: 0,
      born: this.born
    })
  }

  /** Crashes the engine: its channels are reset, and nothing answers at its address. */
  crash () {
    this._server.close()
    for (const socket of this._sockets) socket.resetAndDestroy()
  }

  close () {
    this._server.close()
    this._server.closeAllConnections()
  }

  async _serve (req, res) {
    const chunks = []
    try {
      for await (const chunk of req) chunks.push(chunk)
    } catch {
      return
    }
    const target = req.headers['x-target-instance']
    if (target !== undefined && target !== this.id) {
      res.writeHead(421, { 'x-instance-id': this.id, 'content-length': 0 }).end()
      return
    }
    if (this.control !== undefined && this.control(req, res)) return
    const id = req.headers['x-request-id']
    if (id === undefined) {
      res.writeHead(400, { 'x-not-executed': '1', 'content-length': 0 }).end()
      return
    }
    const call = { id, path: req.url, body: Buffer.concat(chunks), headers: req.headers, at: performance.now() }
    this.runs.push(call)
    this.recorder?.line(`engine ${this.id} runs ${id}${call.body.length > 0 && call.body.length < 60 ? ` body=${JSON.stringify(call.body.toString())}` : ''}`)
    await this.run(req, res, call, this)
  }
}

/** Gets the headers of an engine's answer. */
export function getHeaders (call, more = {}) {
  return { 'x-request-id': call.id, 'x-response-signature': `1.${randomBytes(6).toString('hex')}`, ...more }
}

/** Answers with one body after some milliseconds of work. */
export async function answer (res, call, workMs, text = `done ${call.id}`) {
  await sleep(workMs)
  if (res.destroyed) return false
  res.writeHead(200, getHeaders(call, { 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) })).end(text)
  return true
}

/** Answers with a stream of events. */
export async function stream (res, call, { events, gapMs, firstMs = gapMs }) {
  await sleep(firstMs)
  if (res.destroyed) return
  res.writeHead(200, getHeaders(call, { 'content-type': 'text/event-stream' }))
  for (let at = 1; at <= events; at++) {
    if (at > 1) await sleep(gapMs)
    if (res.destroyed) return
    res.write(`id: ${at}\ndata: token ${at} of ${call.id}\n\n`)
  }
  res.end()
}
