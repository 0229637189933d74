import { Table, type Row, type Rows, type Transaction, type TransactionResult } from '../../core/platform/index.js'
import type { PlatformHttp } from './PlatformHttp.js'

/** HTTP status of a commit whose conditions failed. */
const CONFLICT = 409

/** Accesses the platform's table service over HTTP. */
export class HttpTable extends Table {
  private readonly _http: PlatformHttp

  constructor (http: PlatformHttp) {
    super()
    this._http = http
  }

  async read (keys: readonly string[]): Promise<Rows> {
    const res = await this._http.send('POST', '/read', JSON.stringify({ keys }))
    if (res.status !== 200) throw new Error(`The table answered ${res.status} to a read.`)
    const { rows } = JSON.parse(res.body.toString()) as { rows: Record<string, Row> }
    return new Map(Object.entries(rows))
  }

  async commit (transaction: Transaction): Promise<TransactionResult> {
    const body = {
      conditions: transaction.conditions,
      puts: transaction.puts.map(put => ({ key: put.key, value: put.value ?? null }))
    }
    const res = await this._http.send('POST', '/commit', JSON.stringify(body))
    if (res.status === 200) return { type: 'committed' }
    if (res.status !== CONFLICT) throw new Error(`The table answered ${res.status} to a commit.`)
    const { keys } = JSON.parse(res.body.toString()) as { keys: string[] }
    return { type: 'conflict', keys }
  }
}
