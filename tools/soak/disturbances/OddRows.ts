import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'

/** Tables that gateways read, and partitions of theirs. */
const TABLES = ['servers', 'suspects', 'gateways', 'reserves', 'reserve-handovers', 'served-versions', 'stream-origins', 'budgets', 'turns', 'op']
const PARTS = ['', 'origins-0']

/** Depth at which parsers that recurse overflow their stack. */
const DEPTH = 200_000

const KEYS = ['odd', '__proto__', '/', '', 'a/b/c', '\u0000', 'ü'.repeat(90)]
const ROWS = 12

/** Lets another writer leave odd rows in every table that gateways read; configurations must still be followed. */
export class OddRows extends Disturbance {
  async play (): Promise<void> {
    const { store } = this._world.fixture
    const put = (table: string, key: string): void => {
      store.rows.apply({ puts: [{ table, part: this._pick(PARTS), key, value: this._createValue() }] })
    }
    put('servers', 'odd-target')
    for (let at = 0; at < ROWS; at++) {
      put(this._pick(TABLES), this._pick(KEYS))
      await sleep(this._random.int(0, 100))
    }
    await this._world.checkConfig(this._world.configure())
    for (const table of TABLES) store.rows.apply({ removes: KEYS.flatMap(key => PARTS.map(part => ({ table, part, key }))) })
  }

  private _createValue (): Buffer {
    const target = { service: 'desk', zone: 'here', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, callSeq: 1, born: 1 }
    return this._pick([
      () => Buffer.from(`${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`),
      () => Buffer.from(JSON.stringify({ ...target, address: '127.0.0.1:99999' })),
      () => Buffer.from(JSON.stringify({ ...target, address: '127.0.0.1:1', slots: 1e300, born: 2 ** 60 })),
      () => Buffer.from('{"born":1e999,"address":{"__proto__":1}}'),
      () => Buffer.from([0xff, 0xfe, 0x00, 0x80]),
      () => Buffer.from('null')
    ])()
  }
}
