import { readFileSync } from 'node:fs'
import { expect } from 'earl'
import { parseFields, renderTemplate } from '../../platform/template/index.js'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { GatewayHarness, waitFor } from './GatewayHarness.js'

const TEMPLATE = readFileSync('deploy/settings.toml', 'utf8')

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
  })

  it('should refuse a start without the address of the store, and name the field of the platform', async () => {
    await expect(GatewayProcess.launch({ id: 'gateway-1', storeAddress: '', settings: render({ provider: { address: null } }) }))
      .toBeRejectedWith('store.address: no value; expected a value (from provider.address)')
  })
})
