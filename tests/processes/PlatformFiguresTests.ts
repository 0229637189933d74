import { expect } from 'earl'
import { GatewayHarness, waitFor } from './GatewayHarness.js'

/** Times in milliseconds that no timer can wait for. */
const LONG_MS = 1e12

/** Milliseconds after which unused tokens of a grant have been returned. */
const RETURN_MS = 1_200

/** A configuration as it is written. */
interface WrittenConfig {
  version: number
  readonly routes: ReadonlyArray<Record<string, unknown>>
  readonly services: ReadonlyArray<Record<string, unknown>>
  readonly limits: Record<string, unknown>
}

// Guards against figures that a configuration may state, and with which requests can't be served.
describe('a gateway whose configuration has unusual figures', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.fixture.start()
  })

  afterEach(async () => { await harness.stop() })

  /** Starts a gateway with a changed configuration, and sends a lookup and three turns of one program. */
  async function getStatuses (change: (config: WrittenConfig) => void, headers: Record<string, string> = {}): Promise<number[]> {
    const row = harness.fixture.store.rows.getRow({ table: 'op', part: '', key: 'config' })!
    const config = JSON.parse(Buffer.from(row.value).toString()) as WrittenConfig
    config.version++
    change(config)
    harness.fixture.store.put('op', 'config', config)
    await harness.startGateway()
    const statuses = [(await harness.call({ id: 'l1', path: '/lookup/x', headers })).status]
    for (const index of [1, 2, 3]) {
      const previous: Record<string, string> = index === 1 ? {} : { 'x-previous-turn': `t${index - 1}` }
      const { status, isComplete } = await harness.sendTurn(`t${index}`, { ...previous, ...headers }, 'x')
      statuses.push(isComplete ? status : 0)
      // Unused tokens of a grant are returned to its row, which the next turn reads.
      await new Promise(resolve => { setTimeout(resolve, RETURN_MS) })
    }
    return statuses
  }

  // A timer with a longer time fires at once: streams looked for another target as soon as they began.
  it('should serve with times that are longer than a timer can be', async () => {
    const statuses = await getStatuses(({ routes, limits }) => {
      const times = { timeoutMs: LONG_MS, targetLatencyMs: LONG_MS, targetGapMs: LONG_MS, retentionS: LONG_MS }
      for (const route of routes) Object.assign(route, times)
      Object.assign(limits, { headerTimeoutMs: LONG_MS, idleTimeoutMs: LONG_MS })
    }, { 'x-timeout-ms': String(LONG_MS) })
    expect(statuses).toEqual([200, 200, 200, 200])
    expect((await harness.sendTurn('s1', {}, 'x', '/turns/resumable/a')).isComplete).toEqual(true)
    expect(harness.gateway.lines.filter(line => line.includes('TimeoutOverflowWarning'))).toEqual([])
  })

  it('should serve with fractions in place of whole numbers', async () => {
    const statuses = await getStatuses(({ routes, services, limits }) => {
      const figures = { timeoutMs: 2_000.5, targetLatencyMs: 300.5, maxAttempts: 1.5, priority: 0.5, retentionS: 60.5 }
      for (const route of routes) Object.assign(route, figures)
      for (const service of services) Object.assign(service, { maxConns: 100.5 })
      Object.assign(services[0]!.engine as object, { tokensPerEvent: 2.5 })
      Object.assign(limits, { maxHeaderBytes: 16_384.5, maxBodyBytes: 65_536.5, headerTimeoutMs: 3_000.5, idleTimeoutMs: 15_000.5 })
    }, { 'x-token-budget': '1000.5', 'x-token-usage': '10.5,50.5' })
    expect(statuses).toEqual([200, 200, 200, 200])
    expect(harness.gateway.getEvents('budget-unreadable')).toEqual([])
  })

  it('should start with members that are missing or of another type, and say which', async () => {
    const statuses = await getStatuses(({ routes, services, limits }) => {
      Object.assign(routes[0]!, { priority: 'high', targetGapMs: null, retentionS: true })
      Object.assign(services[0]!, { maxConns: null })
      Object.assign(limits, { idleTimeoutMs: -1 })
    })
    expect(statuses).toEqual([200, 200, 200, 200])
    await waitFor(() => harness.gateway.getEvents('config-defaulted').length > 0)
    const [{ members }] = harness.gateway.getEvents('config-defaulted') as [{ members: string[] }]
    expect(members.map(member => member.split(':')[0])).toEqual(['routes[0].priority', 'routes[0].retentionS', 'limits.idleTimeoutMs'])
  })
})
