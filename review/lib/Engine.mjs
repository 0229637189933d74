/** Stand-in for an engine: runs requests that name it, and streams events on the paths of streaming routes. */
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

export class Engine {
  /** @param decide - Gets what the engine does with a request: { events, gapMs, workMs, bytes, resetAfter, crash }. */
  constructor ({ id, service, decide = () => ({}) }) {
    this.id = id
    this.service = service
    this.decide = decide
    this.born = Date.now()
    this.runs = []
    this.server = createServer((req, res) => { void this._serve(req, res).catch(() => { res.destroy() }) })
  }

  async start (store) {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
    this.register(store)
  }

  register (store, state = 'ready') {
    const { service, address, born } = this
    store.put('servers', this.id, { service, address, zone: 'here', version: 'v1', slots: 48, state, coldLeftMs: 0, callSeq: this.runs.length, born })
  }

  /** Crashes: closes all channels and sends nothing; is back after some seconds with a new lifetime. */
  crash (store, backAfterMs) {
    const port = this.server.address()?.port
    if (port === undefined) return
    this.close()
    this.timer = setTimeout(() => {
      this.born = Date.now()
      this.server.listen(port, '127.0.0.1', () => { this.register(store) })
    }, backAfterMs)
  }

  close () {
    clearTimeout(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  async _serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const id = String(req.headers['x-request-id'])
    if (req.headers['x-target-instance'] !== this.id) {
      res.writeHead(421, { 'x-request-id': id, 'x-not-executed': '1' }).end()
      return
    }
    const run = { id, url: req.url, body: Buffer.concat(chunks), previous: req.headers['x-previous-turn'], at: performance.now(), isComplete: false }
    this.runs.push(run)
    res.on('finish', () => { run.isComplete = true })
    const { events = 3, gapMs = 5, workMs = 0, bytes, resetAfter, crash, data = index => `${id}-${index}` } = this.decide(run)
    if (workMs > 0) await sleep(workMs)
    if (crash !== undefined) {
      crash()
      return
    }
    const head = { 'x-request-id': id, 'x-response-signature': `${this.id}.${id}` }
    if (bytes !== undefined) {
      // A plain answer with a length; after `resetAfter` bytes the channel is reset.
      const answer = Buffer.alloc(bytes, id)
      res.writeHead(200, { ...head, 'content-length': bytes })
      if (resetAfter === undefined) res.end(answer)
      else res.write(answer.subarray(0, resetAfter), () => { setTimeout(() => { res.socket?.resetAndDestroy() }, 100) })
      return
    }
    res.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
    for (let at = Number(req.headers['last-event-id'] ?? 0); at < events; at++) {
      if (at === resetAfter) {
        res.socket?.resetAndDestroy()
        return
      }
      if (at > 0) await sleep(gapMs)
      res.write(`id: ${at + 1}\ndata: ${data(at + 1)}\n\n`)
    }
    res.end()
  }
}
