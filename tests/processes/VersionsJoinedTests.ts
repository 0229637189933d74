import { expect } from 'earl'
import { callPlatform } from '../../tools/platform/PlatformCaller.js'
import type { PlatformFixture } from '../../tools/platform/PlatformFixture.js'
import { waitFor } from './GatewayHarness.js'
import { getVersions, StreamHarness } from './StreamHarness.js'

/** Number of streams that each test begins. */
const STREAMS = 24

/** Gateways that run. */
const GATEWAYS = 3

// Streams held events of two software versions: gateways continued a stream at any target, whatever version had begun it.
describe('gateways before targets of two software versions', () => {
  let harness: StreamHarness
  let fixture: PlatformFixture

  beforeEach(async () => {
    harness = new StreamHarness()
    await harness.start(['v1', 'v1', 'v2', 'v2'], GATEWAYS)
    fixture = harness.fixture
  })

  afterEach(async () => { await harness.stop() })

  it('should continue a stream that a target breaks off at a target of the same version', async () => {
    harness.releaseTargets()
    const responses = await Promise.all(Array.from({ length: STREAMS }, async (_, at) => {
      const engine = fixture.engines[at % 4]!
      engine.nextBehaviours.push('break-off')
      // Requests with the same body count as one that crashes its targets.
      const call = { id: `r-${at}`, path: '/turns/resumable/a', body: `in-${at}` }
      return await callPlatform(harness.gateways[at % GATEWAYS]!.callerAddress, call)
    }))
    expect(responses.map(response => getVersions(response.body).length)).toEqual(responses.map(() => 1))
    expect(responses.filter(response => response.isComplete).length >= STREAMS / 2).toEqual(true)
    expect(getResumedRuns().length > 0).toEqual(true)
  })

  it('should break a stream off, not complete it elsewhere, when no other target of its version serves', async () => {
    for (const engine of fixture.engines.slice(1, 3)) fixture.unregister(engine)
    await waitForTargets(2)
    harness.releaseTargets()
    for (const engine of fixture.engines) engine.nextBehaviours.push('break-off')
    const response = await callPlatform(harness.gateways[0]!.callerAddress, { id: 'r', path: '/turns/resumable/a', body: 'in' })
    expect([response.status, response.isComplete, getVersions(response.body).length]).toEqual([200, false, 1])
  })

  it('should continue the streams of a gateway that was killed at their versions, at the other gateways', async () => {
    const [first, ...others] = harness.gateways
    const streams = await harness.beginStreams(STREAMS, [first!])
    await waitForOrigins()
    await first!.kill()
    harness.releaseTargets()
    expect(await harness.continueStreams(streams, { gateways: others })).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  it('should continue the streams of all gateways at their versions after all were killed at once', async () => {
    const streams = await harness.beginStreams(STREAMS)
    await waitForOrigins()
    await harness.restartGateways()
    harness.releaseTargets()
    expect(await harness.continueStreams(streams)).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  it('should continue streams at their versions while the store is away', async () => {
    const streams = await harness.beginStreams(STREAMS)
    fixture.store.rows.failure = 'refused'
    harness.releaseTargets()
    const [first, ...others] = harness.gateways
    const rotated = [...others, first!]
    // A caller's next try arrives at another gateway than its first one.
    expect(await harness.continueStreams(streams, { gateways: rotated })).toEqual({ continued: STREAMS, joined: 0, refused: 0 })
  })

  it('should refuse, as not run, a stream whose version no longer serves', async () => {
    const streams = await harness.beginStreams(STREAMS)
    await waitForOrigins()
    await harness.restartGateways({ whileDown: () => { for (const engine of fixture.engines.slice(0, 2)) fixture.unregister(engine) } })
    harness.releaseTargets()
    const leftBehind = streams.filter(stream => stream.version === 'v1').length
    expect(leftBehind > 0).toEqual(true)
    const expected = { continued: STREAMS - leftBehind, joined: 0, refused: leftBehind }
    expect(await harness.continueStreams(streams)).toEqual(expected)
  })

  it('should refuse, as not run, streams that their callers do not name', async () => {
    const streams = await harness.beginStreams(STREAMS)
    harness.releaseTargets()
    expect(await harness.continueStreams(streams, { isNamed: false })).toEqual({ continued: 0, joined: 0, refused: STREAMS })
  })

  it('should refuse, as not run, a stream that no gateway and no row knows', async () => {
    harness.releaseTargets()
    const unknown = ['r-1', 'r-2'].map(id => ({ id, version: 'v1', response: Promise.resolve(undefined as never) }))
    expect(await harness.continueStreams(unknown)).toEqual({ continued: 0, joined: 0, refused: 2 })
  })

  function getResumedRuns (): string[] {
    return fixture.engines.flatMap(engine => engine.runs.filter(run => run.headers['last-event-id'] !== undefined).map(run => run.id))
  }

  async function waitForTargets (count: number): Promise<void> {
    const removed = fixture.engines.length - count
    await waitFor(() => harness.gateways.every(gateway => gateway.getEvents('target-removed').length === removed))
  }

  /** Waits until the store holds the origin of each stream. */
  async function waitForOrigins (): Promise<void> {
    const deadline = performance.now() + 1_000
    while (fixture.store.rows.getTableSize('stream-origins') < STREAMS && performance.now() < deadline) {
      await new Promise(resolve => { setTimeout(resolve, 10) })
    }
  }
})
