import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { StoreError, StoreFailure, type RowFeed, type RowKey, type StoredRow } from '../../src/core/platform/index.js'
import { MemoryRowStore } from './MemoryRowStore.js'

/** Largest number of bytes of a call. */
const MAX_CALL_BYTES = 1_000_000

interface WireTransaction {
  readonly expectedRev: Array<RowKey & { readonly rowVersion: number }>
  readonly puts: Array<RowKey & { readonly value: string }>
  readonly remove: RowKey[]
}

/** HTTP server on loopback that simulates the platform's store. */
export class StoreStandin {
  readonly rows = new MemoryRowStore()
  /** Milliseconds before each response, as from another region. */
  latencyMs = 0
  private readonly _server: Server

  constructor () {
    this._server = createServer((req, res) => { void this._serve(req, res) })
  }

  /** Starts the server on a free port; returns host and port. */
  async start (): Promise<string> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Writes a row with a JSON value. */
  put (table: string, key: string, value: unknown): void {
    this.rows.apply({ puts: [{ table, part: '', key, value: Buffer.from(JSON.stringify(value)) }] })
  }

  /** Stops the server and closes its connections. */
  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    const url = new URL(req.url!, 'http://store')
    if (chunks.reduce((sum, chunk) => sum + chunk.length, 0) > MAX_CALL_BYTES) {
      res.writeHead(413).end()
      return
    }
    try {
      if (this.latencyMs > 0) await sleep(this.latencyMs)
      const { status, body } = await this._respond(url, Buffer.concat(chunks).toString())
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    } catch (err) {
      if (err instanceof StoreError && err.failure === StoreFailure.Refused) res.writeHead(503).end()
      else res.destroy()
    }
  }

  private async _respond (url: URL, body: string): Promise<{ status: number, body: unknown }> {
    const query = url.searchParams
    if (url.pathname === '/v1/rows-tx') return await this._commit(JSON.parse(body) as WireTransaction)
    const table = query.get('table')!
    if (url.pathname === '/v1/rows-get') {
      const { rows, version, timeMs } = await this.rows.read({ table, part: query.get('part') ?? '', from: query.get('from') ?? undefined, to: query.get('to') ?? undefined })
      return { status: 200, body: { rows: rows.map(toWire), morePages: false, rowVersion: version, nowMs: timeMs } }
    }
    const feed = await this.rows.watch(table, Number(query.get('after')), Number(query.get('waitMs')))
    return feed.type === 'gap' ? { status: 410, body: {} } : { status: 200, body: { rows: toWireChanges(feed), rowVersion: feed.version, nowMs: feed.timeMs } }
  }

  private async _commit (wire: WireTransaction): Promise<{ status: number, body: unknown }> {
    const result = await this.rows.commit({
      conditions: wire.expectedRev.map(({ rowVersion, ...key }) => ({ ...key, version: rowVersion })),
      puts: wire.puts.map(put => ({ ...put, value: Buffer.from(put.value, 'base64') })),
      removes: wire.remove
    })
    if (result.type === 'conflict') return { status: 412, body: { rows: result.rows.map(toWire) } }
    return { status: 200, body: { rowVersion: result.version, nowMs: this.rows.getTimeMs() } }
  }
}

function toWire (row: StoredRow): Record<string, unknown> {
  return { table: row.table, part: row.part, key: row.key, value: Buffer.from(row.value).toString('base64'), rowVersion: row.version }
}

function toWireChanges (feed: Extract<RowFeed, { type: 'changes' }>): Array<Record<string, unknown>> {
  return feed.changes.map(change => change.type === 'put' ? toWire(change.row) : { ...change.key, rowVersion: feed.version, tombstone: true })
}
