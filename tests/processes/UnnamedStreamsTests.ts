import { expect } from 'earl'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'
import { waitFor } from './GatewayHarness.js'
import { beginStreams, continueStreams } from './StreamHarness.js'

const STREAMS = 12
const GATEWAYS = 2

// Callers that send only `Last-Event-Id` had every stream refused, although all targets had always had the same version.
describe('gateways before targets of one software version', () => {
  let fixture: PlatformFixture
  let gateways: GatewayProcess[]
  let releaseTargets: () => void

  beforeEach(async () => {
    fixture = new PlatformFixture()
    await fixture.start({ engines: 2 })
    for (const engine of fixture.engines) fixture.setEngineVersion(engine, 'v1')
    gateways = await startGateways()
    const gate = new Promise<void>(resolve => { releaseTargets = resolve })
    for (const engine of fixture.engines) engine.gate = gate
  })

  afterEach(async () => {
    releaseTargets()
    await Promise.all(gateways.map(async gateway => { await gateway.kill() }))
    fixture.close()
  })

  it('should continue streams that their callers do not name after all gateways were killed', async () => {
    const streams = await beginStreams(STREAMS, gateways)
    await restartGateways()
    releaseTargets()
    expect(await continueStreams({ fixture, streams, gateways, isNamed: false })).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  it('should refuse them, as not run, when another version has taken over while all gateways were down', async () => {
    const streams = await beginStreams(STREAMS, gateways)
    await waitFor(() => fixture.store.rows.getTableSize('served-versions') > 0)
    await Promise.all(gateways.map(async gateway => { await gateway.kill() }))
    for (const engine of fixture.engines) fixture.setEngineVersion(engine, 'v2')
    gateways = await startGateways()
    releaseTargets()
    expect(await continueStreams({ fixture, streams, gateways, isNamed: false })).toEqual({ continued: 0, joined: 0, refused: STREAMS })
  })

  async function startGateways (): Promise<GatewayProcess[]> {
    return await Promise.all(Array.from({ length: GATEWAYS }, async (_, at) =>
      await GatewayProcess.start({ id: `gateway-${at}`, storeAddress: fixture.storeAddress })))
  }

  async function restartGateways (): Promise<void> {
    await Promise.all(gateways.map(async gateway => { await gateway.kill() }))
    gateways = await startGateways()
  }
})
