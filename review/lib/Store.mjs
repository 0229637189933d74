/** Stand-in for the platform's row store, as PROTOCOL.md describes it: rows, transactions, ranges and the feed. */
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

/** Largest transaction that the page allows. */
const MAX_ENTRIES = 100
const MAX_CALL_BYTES = 1_000_000

export class Store {
  constructor ({ answerMs = 4 } = {}) {
    this.answerMs = answerMs
    this.rows = new Map()
    this.version = 1
    this.waiting = new Set()
    this.server = createServer((req, res) => { void this._serve(req, res) })
  }

  async start () {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a row as the operator or a server does. */
  put (table, key, value) {
    this._apply({ expectedRev: [], puts: [{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], remove: [] })
  }

  count (table) {
    return [...this.rows.values()].filter(row => row.table === table && !row.tombstone).length
  }

  async _serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    await sleep(this.answerMs)
    const url = new URL(req.url, 'http://store')
    const send = (status, value) => {
      res.writeHead(status, { 'content-type': 'application/json' })
      res.end(JSON.stringify({ ...value, rowVersion: this.version, nowMs: Math.round(performance.now()) }))
    }
    if (url.pathname === '/v1/rows-tx') {
      const tx = JSON.parse(body.toString())
      if (body.length > MAX_CALL_BYTES || tx.expectedRev.length + tx.puts.length + tx.remove.length > MAX_ENTRIES) return send(413, {})
      const conflict = this._apply(tx)
      return conflict === undefined ? send(200, {}) : send(412, { rows: conflict })
    }
    const table = url.searchParams.get('table')
    if (url.pathname === '/v1/rows-get') {
      const part = url.searchParams.get('part') ?? ''
      const from = url.searchParams.get('from') ?? ''
      const to = url.searchParams.get('to')
      const limit = Math.min(500, Number(url.searchParams.get('limit') ?? 500))
      const isInRange = key => key >= from && (to === null || key < to)
      const all = this._list(row => row.table === table && row.part === part && !row.tombstone && isInRange(row.key))
      all.sort((a, b) => a.key < b.key ? -1 : 1)
      const page = []
      for (let bytes = 0; page.length < Math.min(limit, all.length);) {
        bytes += all[page.length].value.length
        if (page.length > 0 && bytes > MAX_CALL_BYTES) break
        page.push(all[page.length])
      }
      return send(200, { rows: page, morePages: page.length < all.length })
    }
    if (url.pathname === '/v1/rows-feed') {
      const after = Number(url.searchParams.get('after'))
      const changes = () => {
        return this._list(row => row.table === table && row.rowVersion > after).sort((a, b) => a.rowVersion - b.rowVersion)
      }
      if (changes().length === 0) {
        await new Promise(resolve => {
          const done = () => { clearTimeout(timer); this.waiting.delete(wake); resolve() }
          const wake = () => { if (changes().length > 0) done() }
          const timer = setTimeout(done, Number(url.searchParams.get('waitMs')))
          this.waiting.add(wake)
        })
      }
      return send(200, { rows: changes() })
    }
    return send(404, {})
  }

  _list (isWanted) {
    return [...this.rows.values()].filter(isWanted)
  }

  /** Applies a transaction; returns the current rows of its conditions if one does not hold. */
  _apply (tx) {
    const id = ({ table, part = '', key }) => JSON.stringify([table, part, key])
    const current = key => { const row = this.rows.get(id(key)); return row === undefined || row.tombstone ? undefined : row }
    if (tx.expectedRev.some(key => (current(key)?.rowVersion ?? 0) !== key.rowVersion)) {
      return tx.expectedRev.flatMap(key => current(key) ?? [])
    }
    this.version++
    for (const { table, part = '', key, value } of tx.puts) this.rows.set(id({ table, part, key }), { table, part, key, value, rowVersion: this.version })
    for (const { table, part = '', key } of tx.remove) {
      this.rows.set(id({ table, part, key }), { table, part, key, rowVersion: this.version, tombstone: true })
    }
    for (const wake of [...this.waiting]) wake()
    return undefined
  }
}
