// Stand-in of the platform's store: rows, conditional transactions and the feed, in memory and linearizable.
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

/** Milliseconds of a transaction and of a read, as in the settings of a small deployment. */
const TX_MS = 5
const READ_MS = 4
const PAGE_ROWS = 500

export class Store {
  constructor () {
    this._rows = new Map()
    this._version = 1
    this._watchers = new Set()
    this._startedAt = performance.now()
    this._server = createServer((req, res) => { void this._serve(req, res) })
    this._server.keepAliveTimeout = 30_000
  }

  async start () {
    await new Promise(resolve => this._server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this._server.address().port}`
    return this.address
  }

  close () {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Writes a row of the operator or of an engine. */
  put (table, key, value) {
    this._apply([], [{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  remove (table, key) {
    this._apply([], [], [{ table, part: '', key }])
  }

  countRows (table) {
    return [...this._rows.values()].filter(row => row.table === table && !row.tombstone).length
  }

  async _serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const url = new URL(req.url, 'http://store')
    const { status, body } = await this._answer(req.method, url, Buffer.concat(chunks).toString())
    if (res.destroyed) return
    const nowMs = Math.round(performance.now() - this._startedAt)
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ ...body, nowMs }))
  }

  async _answer (method, url, text) {
    const query = url.searchParams
    if (method === 'POST' && url.pathname === '/v1/rows-tx') {
      await sleep(TX_MS)
      const { expectedRev = [], puts = [], remove = [] } = JSON.parse(text)
      if (Math.max(expectedRev.length, puts.length + remove.length) > 100 || text.length > 1_000_000) return { status: 413, body: {} }
      if (puts.some(row => row.table === 'op' || row.table === 'servers')) return { status: 403, body: {} }
      return this._apply(expectedRev, puts, remove)
    }
    await sleep(READ_MS)
    if (url.pathname === '/v1/rows-get') {
      const part = query.get('part') ?? ''
      const from = query.get('from') ?? ''
      const to = query.get('to')
      const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
      const found = [...this._rows.values()].filter(row => row.table === query.get('table') && row.part === part && !row.tombstone &&
        row.key >= from && (to === null || row.key < to)).sort((a, b) => a.key < b.key ? -1 : 1)
      return { status: 200, body: { rows: found.slice(0, limit), morePages: found.length > limit, rowVersion: this._version } }
    }
    if (url.pathname === '/v1/rows-feed') {
      const table = query.get('table')
      const after = Number(query.get('after'))
      const deadline = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0))
      for (;;) {
        const rows = [...this._rows.values()].filter(row => row.table === table && row.rowVersion > after)
        rows.sort((a, b) => a.rowVersion - b.rowVersion)
        const waitMs = deadline - performance.now()
        if (rows.length > 0 || waitMs <= 0) return { status: 200, body: { rows, rowVersion: this._version } }
        await new Promise(resolve => {
          const done = () => { clearTimeout(timer); this._watchers.delete(done); resolve() }
          const timer = setTimeout(done, waitMs)
          this._watchers.add(done)
        })
      }
    }
    return { status: 404, body: {} }
  }

  _apply (conditions, puts, removes) {
    const toId = row => JSON.stringify([row.table, row.part ?? '', row.key])
    const getVersion = id => { const row = this._rows.get(id); return row === undefined || row.tombstone ? 0 : row.rowVersion }
    if (conditions.some(row => getVersion(toId(row)) !== row.rowVersion)) {
      const rows = conditions.map(row => this._rows.get(toId(row))).filter(row => row !== undefined && !row.tombstone)
      return { status: 412, body: { rows, rowVersion: this._version } }
    }
    const rowVersion = ++this._version
    for (const { table, part = '', key, value } of puts) this._rows.set(toId({ table, part, key }), { table, part, key, value, rowVersion })
    for (const { table, part = '', key } of removes) {
      const id = toId({ table, part, key })
      if (this._rows.has(id)) this._rows.set(id, { table, part, key, rowVersion, tombstone: true })
    }
    for (const wake of [...this._watchers]) wake()
    return { status: 200, body: { rowVersion } }
  }
}
