import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { callPlatform } from '../../tools/platform/PlatformCaller.js'
import { waitFor } from './GatewayHarness.js'
import { getVersions, StreamHarness, type BegunStream } from './StreamHarness.js'

/** Streams that each test begins. */
const STREAMS = 24

/** Milliseconds for which a gateway stands still. */
const FREEZE_MS = 2_500

/** Milliseconds for which a gateway stands still within the time limit of a stream. */
const SHORT_FREEZE_MS = 1_400

/** Milliseconds after a cut at which callers return; shorter than a watch takes to fail. */
const CUT_MS = 1_500

// A gateway that was out of step while targets of a new software version joined continued their streams at targets of the old one.
describe('a gateway that was out of step while software versions changed', () => {
  let harness: StreamHarness

  beforeEach(async () => {
    harness = new StreamHarness()
    await harness.start(['v1', 'v1'], 2)
    await waitFor(() => harness.fixture.store.rows.getTableSize('served-versions') === 2)
  })

  afterEach(async () => { await harness.stop() })

  it('should not join versions when a stream without a name began at a version that could not be stored', async () => {
    harness.fixture.store.rows.readOnlyTables.add('served-versions')
    harness.freeze(1)
    await harness.addEngine('v2')
    await waitFor(() => harness.gateways[0]!.getEvents('target-changed').some(event => event.softwareVersion === 'v2'))
    const streams = await harness.beginStreams(STREAMS, [harness.gateways[0]!])
    await sleep(FREEZE_MS)
    const tries = harness.continueStreams(streams, { gateways: [harness.gateways[1]!], isNamed: false })
    harness.wake(1)
    harness.releaseTargets()
    expect((await tries).joined).toEqual(0)
  })

  it('should not join versions when a target has started again under its id with another version', async () => {
    const streams = await harness.beginStreams(STREAMS, [harness.gateways[0]!])
    await waitForOrigins()
    const tries = await wakeAfterRestart(async () => await harness.continueStreams(streams, { gateways: [harness.gateways[1]!] }))
    expect(tries).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  it('should record the version at which a stream begins when a target has started again under its id with another version', async () => {
    const streams = await wakeAfterRestart(async () => {
      const begun = await harness.beginStreams(STREAMS, [harness.gateways[1]!])
      await waitForOrigins()
      return begun
    })
    const tries = await harness.continueStreams(streams, { gateways: [harness.gateways[0]!] })
    expect(tries).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  it('should go on with streams of its version while a new one joins', async () => {
    const streams: BegunStream[] = await harness.beginStreams(STREAMS, [harness.gateways[0]!])
    await waitForOrigins()
    harness.freeze(1)
    await harness.addEngine('v2')
    await sleep(FREEZE_MS)
    const tries = harness.continueStreams(streams, { gateways: [harness.gateways[1]!] })
    harness.wake(1)
    harness.releaseTargets()
    expect(await tries).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  for (const link of ['silent', 'reset', 'one-way', 'delayed'] as const) {
    it(`should not join versions while its connection to the store is ${link} and a new version joins`, async () => {
      const [first, second] = harness.gateways
      harness.proxies[1]!.setMode(link)
      await harness.addEngine('v2')
      await waitFor(() => first!.getEvents('versions-written').some(event => (event.versions as string[]).includes('model v2')))
      const streams = await harness.beginStreams(STREAMS, [first!])
      harness.releaseTargets()
      const named = await harness.continueStreams(streams.slice(0, STREAMS / 2), { gateways: [second!] })
      const unnamed = await harness.continueStreams(streams.slice(STREAMS / 2), { gateways: [second!], isNamed: false })
      expect(new Set(streams.map(({ version }) => version)).size).toEqual(2)
      expect([named.joined, unnamed.joined, unnamed.continued]).toEqual([0, 0, 0])
    })
  }

  it('should not join versions while its connection to the store is silent and a target has started again under its id', async () => {
    const streams = await harness.beginStreams(STREAMS, [harness.gateways[0]!])
    await waitForOrigins()
    harness.proxies[1]!.setMode('silent')
    harness.fixture.setEngineVersion(harness.fixture.engines[0]!, 'v2')
    await sleep(CUT_MS)
    harness.releaseTargets()
    const tries = await harness.continueStreams(streams, { gateways: [harness.gateways[1]!] })
    expect(tries.joined).toEqual(0)
  })

  // The gateway knows the origin and reads no row, so that it has not yet noticed that the store does not respond.
  it('should not join versions that it began while its connection to the store is silent and a target has started again under its id', async () => {
    const streams = await harness.beginStreams(STREAMS, [harness.gateways[1]!])
    harness.proxies[1]!.setMode('silent')
    harness.fixture.setEngineVersion(harness.fixture.engines[0]!, 'v2')
    harness.releaseTargets()
    const tries = await harness.continueStreams(streams, { gateways: [harness.gateways[1]!] })
    expect(tries).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  it('should not join versions within a response while its connection to the store is silent and a target has started again under its id', async () => {
    const streams = await harness.beginStreams(STREAMS, [harness.gateways[1]!])
    harness.proxies[1]!.setMode('silent')
    harness.fixture.setEngineVersion(harness.fixture.engines[0]!, 'v2')
    harness.fixture.engines[1]!.crash()
    harness.releaseTargets()
    const responses = await Promise.all(streams.map(async stream => await stream.response))
    expect(responses.filter(response => getVersions(response.body).length > 1).length).toEqual(0)
    // Those of the target that broke off have none of their version left.
    expect(responses.filter(response => !response.isComplete).length).toBeGreaterThan(0)
  })

  // They were aborted at once, since no target could be chosen before the list was read again.
  it('should continue streams whose target breaks off while the gateway stands still', async () => {
    const streams = await harness.beginStreams(STREAMS, [harness.gateways[1]!])
    harness.freeze(1)
    harness.fixture.engines[0]!.crash()
    await sleep(SHORT_FREEZE_MS)
    harness.wake(1)
    harness.releaseTargets()
    const responses = await Promise.all(streams.map(async stream => await stream.response))
    expect(responses.filter(response => response.isComplete && response.body.includes('third')).length).toEqual(STREAMS)
  })

  // All were refused, although every gateway can read that the versions serve.
  it('should begin streams after a restart while the store rejects the rows of versions that it has', async () => {
    await waitFor(() => harness.fixture.store.rows.getTableSize('served-versions') > 0)
    harness.releaseTargets()
    harness.fixture.store.rows.readOnlyTables.add('served-versions')
    await harness.restartGateways()
    const statuses = await Promise.all(Array.from({ length: 5 }, async (_, index) => {
      return (await callPlatform(harness.gateways[0]!.callerAddress, { id: `n-${index}`, path: '/turns/resumable/a', body: 'in' })).status
    }))
    expect(statuses).toEqual([200, 200, 200, 200, 200])
  })

  /** Starts a target again under its id with another version while a gateway stands still, and calls that gateway when it wakes. */
  async function wakeAfterRestart<T> (call: () => Promise<T>): Promise<T> {
    harness.freeze(1)
    harness.fixture.setEngineVersion(harness.fixture.engines[0]!, 'v2')
    await sleep(FREEZE_MS)
    harness.releaseTargets()
    const result = call()
    harness.wake(1)
    return await result
  }

  async function waitForOrigins (): Promise<void> {
    await waitFor(() => harness.fixture.store.rows.getTableSize('stream-origins') === STREAMS)
  }
})
