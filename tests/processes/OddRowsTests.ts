import { expect } from 'earl'
import { setTimeout as sleep } from 'node:timers/promises'
import { GatewayHarness, waitFor } from './GatewayHarness.js'

/** Levels of nesting that fit a row of the store. */
const DEPTH = 20_000

const REGISTRATION = {
  service: 'model', address: '127.0.0.1:9', zone: 'here', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, callSeq: 1, born: 5
}

/** Values that another writer may leave: deep nesting, numbers too large, ports and addresses that don't exist, bytes that are no JSON. */
const ODD_VALUES: readonly string[] = [
  '['.repeat(DEPTH) + ']'.repeat(DEPTH),
  '{"a":'.repeat(DEPTH / 4) + '1' + '}'.repeat(DEPTH / 4),
  JSON.stringify({ ...REGISTRATION, address: '127.0.0.1:70000' }),
  JSON.stringify({ ...REGISTRATION, address: '127.0.0.1:99999999999999999999' }),
  JSON.stringify({ ...REGISTRATION, address: '999.1.1.1:80' }),
  JSON.stringify(REGISTRATION).replace('"slots":8', '"slots":1e999'),
  JSON.stringify(REGISTRATION).replace('"slots":8', '"slots":9e15'),
  JSON.stringify(REGISTRATION).replace('"born":5', '"born":123456789012345678901234567890'),
  JSON.stringify(REGISTRATION).replace('"born":5', '"born":1e300'),
  JSON.stringify({ ...REGISTRATION, version: 'v'.repeat(40_000) }),
  JSON.stringify({ ...REGISTRATION, zone: ['['.repeat(9)] }),
  '\u0000\ufffd not JSON', '', 'null', 'true', '[]', '"text"', '1e400', '{"granted":null}', '{"type":"left","state":7}', '[1,2]', '{"__proto__":1}'
]

const ODD_KEYS: readonly string[] = ['plain', '', '/', '@', '\u0000', 'line\nbreak', 'ünï', 'x'.repeat(200), '__proto__', '7']

/** Machines that read the list of targets ended again and again, or stopped following it, after another writer had left one odd row. */
describe('a gateway that reads odd rows of another writer', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
    await harness.waitForReserves()
  })

  afterEach(async () => { await harness.stop() })

  /** Writes each odd value under some key, and each odd key with some value. */
  async function putOddRows (table: string, part = ''): Promise<void> {
    const { rows } = harness.fixture.store
    const put = (key: string, value: string): void => { rows.apply({ puts: [{ table, part, key, value: Buffer.from(value) }] }) }
    for (const [index, value] of ODD_VALUES.entries()) put(`odd-${index}`, value)
    for (const key of ODD_KEYS) put(key, JSON.stringify({ ...REGISTRATION, service: 'elsewhere' }))
    await sleep(100)
  }

  /** Expects the gateway to run, to follow configuration and targets, and to serve. */
  async function expectToFollow (): Promise<void> {
    const { fixture, gateway } = harness
    const rejected = gateway.getEvents('config-rejected').length
    fixture.configure({}, ['/added/'])
    await waitFor(() => gateway.getEvents('config-adopted').length > 1 || gateway.hasExited())
    fixture.unregister(fixture.engines[1]!)
    await waitFor(() => gateway.getEvents('target-removed').some(event => event.target === 'engine-1') || gateway.hasExited())
    expect(gateway.hasExited()).toEqual(false)
    expect(gateway.getEvents('config-rejected').length).toEqual(rejected)
    const lookups = await Promise.all(Array.from({ length: 12 }, async (_, index) => await harness.call({ id: `l${index}`, path: '/added/x' })))
    expect(lookups.map(response => response.status)).toEqual(lookups.map(() => 200))
    const turns = await Promise.all(Array.from({ length: 12 }, async (_, index) => {
      const headers = { 'x-program-id': `p${index}`, 'x-token-budget': '1000', 'x-token-usage': '10,50' }
      return await harness.call({ id: `t${index}`, path: '/turns/kept/a', body: `input ${index}`, headers })
    }))
    expect(turns.map(response => [response.status, response.isComplete])).toEqual(turns.map(() => [200, true]))
  }

  for (const table of ['servers', 'op', 'gateways', 'reserves', 'reserve-handovers', 'served-versions', 'suspects', 'stream-origins']) {
    it(`should go on following and serving: ${table}`, async () => {
      await putOddRows(table)
      await expectToFollow()
    })
  }

  for (const table of ['gateways', 'reserves', 'reserve-handovers', 'servers']) {
    it(`should start and serve although they are there: ${table}`, async () => {
      await putOddRows(table)
      harness.fixture.store.rows.apply({ puts: [{ table, part: '', key: 'gateway-1', value: Buffer.from('{"odd":') }] })
      await harness.gateway.kill()
      await harness.startGateway()
      await expectToFollow()
    })
  }

  it('should refuse, and not end a request without a response, when its own row is odd', async () => {
    const { rows } = harness.fixture.store
    const parts = Array.from({ length: 64 }, (_, index) => String(index))
    for (const part of parts) rows.apply({ puts: [{ table: 'budgets', part, key: 'p1', value: Buffer.from('[[') }] })
    for (let part = 0; part < 4; part++) rows.apply({ puts: [{ table: 'stream-origins', part: `origins-${part}`, key: 's1', value: Buffer.from('{') }] })
    const turn = await harness.sendTurn('t1', {}, 'input')
    expect([200, 503].includes(turn.status)).toEqual(true)
    const resumed = await harness.call({ id: 's2', path: '/turns/resumable/a', body: 'in', headers: { resumes: 's1', 'last-event-id': '1' } })
    expect(resumed.status).toEqual(503)
    expect(harness.gateway.getEvents('request-failed').length).toEqual(0)
  })
})
