import { readFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { isDeepStrictEqual } from 'node:util'
import { expect } from 'earl'
import { parseFields, renderTemplate } from '../../platform/template/index.js'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { GatewayHarness, waitFor } from './GatewayHarness.js'

const TEMPLATE = readFileSync('deploy/settings.toml', 'utf8')

/** Polls of the metrics until they have to show what a changed file states, and milliseconds between two of them. */
const METRIC_POLLS = 100
const POLL_INTERVAL_MS = 50

/** Changes of the platform's fields for the gateway of a test, by section. */
interface FieldChanges {
  readonly bounds?: Readonly<Record<string, unknown>>
  readonly limits?: Readonly<Record<string, unknown>>
  readonly provider?: Readonly<Record<string, unknown>>
}

describe('settings that the platform changes', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.fixture.start()
  })

  afterEach(async () => { await harness.stop() })

  /** Renders the template of the deploy file; the operating system chooses the ports. */
  function render ({ bounds, limits, provider }: FieldChanges = {}): string {
    return renderTemplate(TEMPLATE, parseFields(JSON.stringify({
      nodeName: 'gateway-1',
      ip: '127.0.0.1',
      zone: 'here',
      zones: { here: 'home' },
      listenAddrs: { front: '127.0.0.1:0', readyAddr: '127.0.0.1:0' },
      portRange: [0, 0],
      limits: { memoryMb: 210, maxFds: 8_200, ...limits },
      bounds: { drainTimeoutMs: 2_500, graceS: 8, ...bounds },
      provider: { address: harness.fixture.storeAddress, rowBytes: 65_536, writesPerS: 800, ...provider }
    })))
  }

  /** Gets a metric without labels. */
  async function getMetric (name: string): Promise<number> {
    const text = await (await fetch(harness.gateway.metricsUrl)).text()
    return Number(new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1])
  }

  // review/9: with graceS 8.5 every gateway ended at its next start, and none served any more.
  it('should not keep a gateway from starting again after the grace period has become a fraction', async () => {
    await harness.startGateway({ settings: render() })
    harness.gateway.writeSettings(render({ bounds: { graceS: 8.5 } }))
    harness.gateway.signal('SIGHUP')
    await waitFor(() => harness.gateway.getEvents('settings-taken').length === 1)
    expect(harness.gateway.getEvents('settings-taken')[0]!.graceMs).toEqual(8_500)
    harness.gateway.signal('SIGTERM')
    expect(await harness.gateway.waitForExit()).toEqual(0)
    await harness.startGateway({ settings: render({ bounds: { graceS: 8.5 } }) })
    expect((await harness.call({ id: 'r1', path: '/lookup/x' })).status).toEqual(200)
  })

  it('should start with defaults for figures without a value or of another type, and say so with the fields of the platform', async () => {
    const limits = { memoryMb: true, maxFds: 8_200.5 }
    const bounds = { graceS: undefined, drainTimeoutMs: null }
    await harness.startGateway({ settings: render({ bounds, limits, provider: { rowBytes: {} } }) })
    expect((await harness.call({ id: 'r1', path: '/lookup/x' })).status).toEqual(200)
    const [{ findings }] = harness.gateway.getEvents('settings-defaulted') as [{ findings: string[] }]
    expect(findings.map(finding => /\(from (.*)\)/.exec(finding)?.[1])).toEqual(['provider.rowBytes', 'bounds.graceS', 'bounds.drainTimeoutMs', 'limits.memoryMb'])
    expect(await getMetric('wisteria_settings_replaced')).toEqual(4)
  })

  it('should refuse a start without the address of the store, and name the field of the platform', async () => {
    await expect(GatewayProcess.launch({ id: 'gateway-1', storeAddress: '', settings: render({ provider: { address: null } }) }))
      .toBeRejectedWith('store.address: no value; expected a value (from provider.address)')
  })

  // Guards against settings that are seen at the next start of all gateways only.
  it('should show by metrics that the next start would be refused, use defaults, or other settings, and keep serving', async () => {
    await harness.startGateway({ settings: render() })
    const expectMetrics = async (text: string, expected: number[]): Promise<void> => {
      harness.gateway.writeSettings(text)
      harness.gateway.signal('SIGHUP')
      const names = ['unusable', 'replaced', 'pending'].map(name => `wisteria_settings_${name}`)
      let metrics: number[] = []
      for (let polls = 0; polls < METRIC_POLLS && !isDeepStrictEqual(metrics, expected); polls++) {
        await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
        metrics = await Promise.all(names.map(getMetric))
      }
      expect(metrics).toEqual(expected)
    }
    await expectMetrics(render(), [0, 0, 0])
    await expectMetrics(render({ provider: { address: null } }), [1, 0, 0])
    await expectMetrics(render({ bounds: { graceS: null } }), [0, 1, 0])
    await expectMetrics(render({ bounds: { graceS: 7 }, limits: { memoryMb: 180 }, provider: { writesPerS: 900 } }), [0, 0, 2])
    const taken = harness.gateway.getEvents('settings-taken')
    expect(taken.map(({ graceMs, ignored }) => [graceMs, ignored])).toEqual([[7_000, ['store', 'limits']]])
    expect((await harness.call({ id: 'r1', path: '/lookup/x' })).status).toEqual(200)
    expect(await harness.gateway.getReadiness()).toEqual(200)
  })

  // The file may change without a signal; a gateway that plans with the former time is killed with requests in progress.
  it('should stop within a grace period that became shorter right before the signal to stop', async () => {
    await harness.startGateway({ settings: render({ bounds: { graceS: 60 } }) })
    for (const engine of harness.fixture.engines) engine.gate = new Promise(() => {})
    harness.sendTurn('t1', {}, 'x').catch(() => {})
    await waitFor(() => harness.getRuns('t1').length === 1)
    harness.gateway.writeSettings(render({ bounds: { graceS: 1.5 } }))
    const startedAt = performance.now()
    harness.gateway.signal('SIGTERM')
    expect(await harness.gateway.waitForExit()).toEqual(0)
    expect(performance.now() - startedAt < 1_500).toEqual(true)
  })

  it('should end with an error when an address can not be used, instead of running without a server', async () => {
    const blocker = createServer()
    await new Promise<void>(resolve => { blocker.listen(0, '127.0.0.1', resolve) })
    const { port } = blocker.address() as { port: number }
    try {
      const settings = render().replace('callers = "127.0.0.1:0"', `callers = "127.0.0.1:${port}"`)
      await expect(GatewayProcess.launch({ id: 'gateway-1', storeAddress: '', settings })).toBeRejectedWith('start-failed')
    } finally {
      blocker.close()
    }
  })

  it('should serve without metrics when their address can not be used', async () => {
    await harness.startGateway({ settings: render().replace('metrics = "127.0.0.1:0"', 'metrics = "127.0.0.1:70000"') })
    expect(harness.gateway.getEvents('metrics-not-served').length).toEqual(1)
    expect((await harness.call({ id: 'r1', path: '/lookup/x' })).status).toEqual(200)
  })
})
