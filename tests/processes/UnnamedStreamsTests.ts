import { expect } from 'earl'
import { waitFor } from './GatewayHarness.js'
import { StreamHarness } from './StreamHarness.js'

const STREAMS = 12
const GATEWAYS = 2

// Callers that send only `Last-Event-Id` had every stream refused, although all targets had always had the same version.
describe('gateways before targets of one software version', () => {
  let harness: StreamHarness

  beforeEach(async () => {
    harness = new StreamHarness()
    await harness.start(['v1', 'v1'], GATEWAYS)
  })

  afterEach(async () => { await harness.stop() })

  it('should continue streams that their callers do not name after all gateways were killed', async () => {
    const streams = await harness.beginStreams(STREAMS)
    await waitForVersions()
    await harness.restartGateways()
    harness.releaseTargets()
    expect(await harness.continueStreams(streams, { isNamed: false })).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  it('should refuse them, as not run, when another version has taken over while all gateways were down', async () => {
    const { fixture } = harness
    const streams = await harness.beginStreams(STREAMS)
    await waitForVersions()
    await harness.restartGateways({ whileDown: () => { for (const engine of fixture.engines) fixture.setEngineVersion(engine, 'v2') } })
    harness.releaseTargets()
    expect(await harness.continueStreams(streams, { isNamed: false })).toEqual({ continued: 0, joined: 0, refused: STREAMS })
  })

  /** Waits until the store knows which versions serve. */
  async function waitForVersions (): Promise<void> {
    await waitFor(() => harness.fixture.store.rows.getTableSize('served-versions') > 0)
  }
})
