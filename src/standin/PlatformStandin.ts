import { setTimeout as sleep } from 'node:timers/promises'
import type { ServerResponse, IncomingMessage } from 'node:http'
import { MemoryObjectStore, MemoryTable, type Instance, type Transaction } from '../core/platform/index.js'
import { sendJson } from './standinServer.js'

/** Faults of the platform that a test can inject. */
export interface PlatformFaults {
  /** The table and the object store do not respond. */
  readonly isDown?: boolean
  /** Number of commits that take effect but get no response. */
  readonly loseAnswers?: number
  /** Delay of the responses of the table and the object store, in milliseconds. */
  readonly delayMs?: number
  /** Milliseconds before a change appears in the instance list. */
  readonly listLagMs?: number
}

/** Stands in for the platform: table, object store and delayed instance list over HTTP. */
export class PlatformStandin {
  private readonly _table = new MemoryTable()
  private readonly _objects = new MemoryObjectStore()
  private readonly _lists: Array<{ at: number, instances: readonly Instance[] }> = []
  private readonly _counts = { reads: 0, commits: 0, rows: 0 }
  private _faults: PlatformFaults = {}
  private _lostResponses = 0

  /** Handles one request. */
  async handle (req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    const path = req.url ?? '/'
    if (path.startsWith('/admin/')) return this._administer(path, res, body)
    if (path === '/instances') return this._sendList(req, res)
    if (this._faults.isDown === true) return // No response, as in an outage.
    if (this._faults.delayMs !== undefined) await sleep(this._faults.delayMs)
    if (path === '/read') this._read(res, body)
    else if (path === '/commit') this._commit(res, body)
    else if (path.startsWith('/objects/')) this._serveObject(req, res, path, body)
    else sendJson(res, 404, {})
  }

  private _read (res: ServerResponse, body: Buffer): void {
    this._counts.reads++
    const { keys } = JSON.parse(body.toString()) as { keys: string[] }
    sendJson(res, 200, { rows: Object.fromEntries(this._table.read(keys)) })
  }

  private _commit (res: ServerResponse, body: Buffer): void {
    this._counts.commits++
    const raw = JSON.parse(body.toString()) as Transaction
    const puts = raw.puts.map(put => ({ key: put.key, value: put.value ?? undefined }))
    this._counts.rows += puts.length
    const result = this._table.commit({ conditions: raw.conditions, puts })
    if (this._lostResponses < (this._faults.loseAnswers ?? 0)) {
      this._lostResponses++
      return
    }
    sendJson(res, result.type === 'committed' ? 200 : 409, result)
  }

  private _serveObject (req: IncomingMessage, res: ServerResponse, path: string, body: Buffer): void {
    if (req.method === 'PUT') {
      this._objects.put(path, body)
      return sendJson(res, 200, {})
    }
    const bytes = this._objects.get(path)
    if (bytes === undefined) return sendJson(res, 404, {})
    res.end(bytes)
  }

  private _sendList (req: IncomingMessage, res: ServerResponse): void {
    const until = Date.now() - (this._faults.listLagMs ?? 0)
    const listed = this._lists.filter(entry => entry.at <= until)
    const etag = `"${listed.length}"`
    res.setHeader('etag', etag)
    if (req.headers['if-none-match'] === etag) res.writeHead(304).end()
    else sendJson(res, 200, { instances: listed.at(-1)?.instances ?? [] })
  }

  private _administer (path: string, res: ServerResponse, body: Buffer): void {
    if (path === '/admin/instances') this._lists.push({ at: Date.now(), instances: JSON.parse(body.toString()) as Instance[] })
    if (path === '/admin/faults') {
      this._faults = JSON.parse(body.toString()) as PlatformFaults
      this._lostResponses = 0
    }
    if (path === '/admin/rows') return sendJson(res, 200, Object.fromEntries(this._table.read(this._table.getKeys())))
    sendJson(res, 200, this._counts)
  }
}
