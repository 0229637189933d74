import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import type { EngineBehaviour, EngineStandin } from '../../tools/platform/EngineStandin.js'
import { callPlatform, type PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import { waitFor } from './GatewayHarness.js'
import { StreamHarness } from './StreamHarness.js'

/** Requests that follow a notice. */
const REQUESTS = 20

/** Milliseconds within which the other gateways know. */
const NEWS_MS = 500

/** Milliseconds for which a leaving target may be used as the last one, as the gateways' settings state it, and some more. */
const DRAINED_MS = 2_600

// A target that stated in its responses that it was leaving got requests until its row said so, and for good while the store was away.
describe('gateways before targets that state that they are leaving', () => {
  let harness: StreamHarness
  let leaving: EngineStandin
  let requests: number

  beforeEach(async () => {
    harness = new StreamHarness()
    requests = 0
    await harness.start(['v1', 'v2'], 2)
    leaving = harness.fixture.desks[0]!
  })

  afterEach(async () => { await harness.stop() })

  it('should send nothing to a target after its notice, and learn it from a peer', async () => {
    await getNotice()
    expect(await countArrivals(0)).toEqual(0)
    await sleep(NEWS_MS)
    expect(await countArrivals(1)).toEqual(0)
  })

  for (const behaviour of ['not-run', 'other-request', 'unsigned', 'refuse-unproved', 'fail'] as const) {
    it(`should learn from a response that it does not pass on or that is no success (${behaviour})`, async () => {
      await getNotice(behaviour)
      expect(await countArrivals(0)).toEqual(0)
    })
  }

  it('should learn from an interim response', async () => {
    await getNotice('interim-leaving')
    expect(await countArrivals(0)).toEqual(0)
  })

  it('should send a request whose first attempt brought the notice elsewhere', async () => {
    leaving.statesLeaving = true
    for (let at = 0; at < REQUESTS; at++) leaving.nextBehaviours.push('not-run')
    const responses = []
    for (let at = 0; at < REQUESTS; at++) responses.push(await send(0))
    expect(responses.map(({ status }) => status)).toEqual(responses.map(() => 200))
    expect(leaving.arrivals.length <= 1).toEqual(true)
  })

  it('should keep the notice through reports, a complete read and an outage of the store', async () => {
    const { fixture } = harness
    await getNotice()
    leaving.statesLeaving = false
    // The watch fails, and its next call finds that the history before it is gone.
    fixture.store.rows.failure = 'refused'
    fixture.store.rows.truncateHistory()
    fixture.report(leaving)
    await sleep(50)
    fixture.store.rows.failure = undefined
    await waitFor(() => harness.gateways[0]!.getEvents('watch-gap').some(event => event.table === 'servers'))
    await sleep(NEWS_MS)
    expect(await countArrivals(0)).toEqual(0)
    fixture.unregister(leaving)
    fixture.store.rows.failure = 'refused'
    expect(await countArrivals(0)).toEqual(0)
  })

  it('should use a target again that has started again under its id', async () => {
    await getNotice()
    leaving.statesLeaving = false
    harness.fixture.register(leaving)
    await sleep(NEWS_MS)
    expect(await countArrivals(0) > 0).toEqual(true)
    expect(await countArrivals(1) > 0).toEqual(true)
  })

  it('should use the last target of a service for no longer than it drains, and then refuse requests', async () => {
    for (const desk of harness.fixture.desks) desk.statesLeaving = true
    await getNotice()
    const startedAt = performance.now()
    let served = 0
    while (performance.now() - startedAt < DRAINED_MS) {
      if ((await send(0)).status === 200) served++
      await sleep(50)
    }
    expect(served > 5).toEqual(true)
    const arrivals = countAll()
    expect((await send(0)).status).toEqual(503)
    expect(countAll()).toEqual(arrivals)
  })

  it('should send nothing to a target whose row says that it drains, also when its responses say so too', async () => {
    const { fixture } = harness
    await getNotice()
    fixture.report(leaving, 'draining')
    await waitForDraining(leaving)
    expect(await countArrivals(0)).toEqual(0)
    expect(await countArrivals(1)).toEqual(0)
  })

  for (const source of ['row', 'responses']) {
    it(`should continue streams at the last target of their version while it drains, by its ${source}`, async () => {
      const { fixture, gateways } = harness
      const engine = fixture.engines[0]!
      if (source === 'responses') engine.statesLeaving = true
      const streams = (await harness.beginStreams(REQUESTS, [gateways[0]!])).filter(({ version }) => version === 'v1')
      await waitFor(() => fixture.store.rows.getTableSize('stream-origins') === REQUESTS)
      if (source === 'row') {
        fixture.report(engine, 'draining')
        await waitForDraining(engine)
      }
      harness.releaseTargets()
      expect(streams.length > 0).toEqual(true)
      const tries = await harness.continueStreams(streams, { gateways: [gateways[1]!] })
      expect(tries).toEqual({ continued: streams.length, joined: 0, refused: 0 })
      await sleep(DRAINED_MS)
      const arrivals = engine.arrivals.length
      const { continued, joined } = await harness.continueStreams(streams, { gateways: [gateways[1]!] })
      expect([continued, joined, engine.arrivals.length]).toEqual([0, 0, arrivals])
    })
  }

  /** Sends requests until the target has stated that it is leaving. */
  async function getNotice (behaviour: EngineBehaviour = 'answer'): Promise<void> {
    leaving.statesLeaving = behaviour !== 'interim-leaving'
    leaving.nextBehaviours.push(behaviour)
    while (leaving.arrivals.length === 0) await send(0)
  }

  /** Waits until all gateways have read that a target is draining. */
  async function waitForDraining ({ id }: EngineStandin): Promise<void> {
    await waitFor(() => harness.gateways.every(gateway => {
      return gateway.getEvents('target-changed').some(event => event.id === id && event.isLeaving === true)
    }))
  }

  /** Sends requests to a gateway; returns how many reached the target that is leaving. */
  async function countArrivals (gateway: number): Promise<number> {
    const before = leaving.arrivals.length
    for (let at = 0; at < REQUESTS; at++) await send(gateway)
    return leaving.arrivals.length - before
  }

  async function send (gateway: number): Promise<PlatformCallResponse> {
    return await callPlatform(harness.gateways[gateway]!.callerAddress, { id: `q-${requests++}`, path: '/lookup/x' })
  }

  function countAll (): number {
    return harness.fixture.desks.reduce((sum, desk) => sum + desk.arrivals.length, 0)
  }
})
