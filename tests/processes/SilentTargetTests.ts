import { expect } from 'earl'
import type { PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import { GatewayHarness, STREAM_BODY, waitFor } from './GatewayHarness.js'

/** Milliseconds for which a sound target sends nothing: more than half of what callers of the route wait, and less than all of it. */
const SOUND_PAUSE_MS = 1_600

const STREAMS = 12

/** Streams were cut after half of their callers' wait without an event, although their target was sound and nothing else could go on. */
describe('a target that falls silent within a stream', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
    for (const engine of harness.fixture.engines) engine.pauseMs = SOUND_PAUSE_MS
  })

  afterEach(async () => { await harness.stop() })

  /** Sends streams at once and returns what their callers got. */
  async function sendStreams (): Promise<PlatformCallResponse[]> {
    return await Promise.all(Array.from({ length: STREAMS }, async (_, index) =>
      await harness.call({ id: `s${index}`, path: '/turns/resumable/a', body: `input ${index}` })))
  }

  /** Makes both targets behave so for the streams that begin at them. */
  function setBehaviour (behaviour: 'pause' | 'stall'): void {
    for (let index = 0; index < STREAMS; index++) harness.setNextBehaviour(behaviour)
  }

  function countWhole (responses: readonly PlatformCallResponse[]): number {
    return responses.filter(response => response.status === 200 && response.isComplete && response.body === STREAM_BODY).length
  }

  it('should not cut streams that go on later, when the route allows a single attempt', async () => {
    harness.fixture.configure({ resumableAttempts: 1 })
    await waitFor(() => harness.gateway.getEvents('config-adopted').length > 1)
    setBehaviour('pause')
    expect(countWhole(await sendStreams())).toEqual(STREAMS)
  })

  it('should not cut streams that go on later, when the configuration changes meanwhile', async () => {
    harness.fixture.configure({ resumableAttempts: 1 })
    await waitFor(() => harness.gateway.getEvents('config-adopted').length > 1)
    setBehaviour('pause')
    const responses = sendStreams()
    await waitFor(() => harness.gateway.getEvents('dispatched').length === STREAMS)
    harness.fixture.configure({ resumableAttempts: 1, timeoutMs: 800 }, Array.from({ length: 350 }, (_, index) => `/more-${index}/`))
    expect(countWhole(await responses)).toEqual(STREAMS)
  })

  it('should not cut streams that go on later, when no other target serves', async () => {
    const { fixture, gateway } = harness
    fixture.unregister(fixture.engines[1]!)
    await waitFor(() => gateway.getEvents('target-removed').length > 0)
    setBehaviour('pause')
    expect(countWhole(await sendStreams())).toEqual(STREAMS)
  })

  it('should not cut streams that go on later, when the other target is full', async () => {
    const [first, second] = harness.fixture.engines
    for (let index = 0; index < STREAMS; index++) first!.nextBehaviours.push('pause')
    for (let index = 0; index < 4 * STREAMS; index++) second!.nextBehaviours.push('not-run')
    expect(countWhole(await sendStreams())).toEqual(STREAMS)
  })

  it('should relay each event once when streams go on while the other target is asked', async () => {
    const [first, second] = harness.fixture.engines
    for (let index = 0; index < STREAMS; index++) {
      first!.nextBehaviours.push('pause')
      second!.nextBehaviours.push('hang')
    }
    const responses = await sendStreams()
    const begun = new Set(first!.runs.map(run => run.id))
    expect(begun.size > 0).toEqual(true)
    expect(countWhole(responses.filter((_, index) => begun.has(`s${index}`)))).toEqual(begun.size)
  })

  it('should continue streams at the other target when theirs breaks off while it is asked', async () => {
    const [first, second] = harness.fixture.engines
    second!.headDelayMs = 600
    for (let index = 0; index < STREAMS; index++) first!.nextBehaviours.push('pause-reset')
    expect(countWhole(await sendStreams())).toEqual(STREAMS)
  })

  it('should continue streams at the other target when theirs has died', async () => {
    const [first] = harness.fixture.engines
    for (let index = 0; index < STREAMS; index++) first!.nextBehaviours.push('stall')
    expect(countWhole(await sendStreams())).toEqual(STREAMS)
  })
})
