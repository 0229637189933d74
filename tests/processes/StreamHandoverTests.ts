import { expect } from 'earl'
import type { EngineBehaviour } from '../../tools/platform/EngineStandin.js'
import type { PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import { GatewayHarness, STREAM_BODY, waitFor } from './GatewayHarness.js'

const STREAMS = 12

/** Streams were lost when the silent response was ended, or the other attempt dropped, before the other target had sent an event. */
describe('the handover of a silent stream', () => {
  let harness: GatewayHarness

  afterEach(async () => { await harness.stop() })

  /** Starts streams at the first target, then registers the others; returns how many callers got the whole stream. */
  async function countWhole (
    first: EngineBehaviour, other: EngineBehaviour, options: { engines?: number, headDelayMs?: number } = {}
  ): Promise<number> {
    const { engines = 2, headDelayMs = 0 } = options
    harness = new GatewayHarness()
    await harness.fixture.start({ engines, route: { timeoutMs: 3_000 } })
    await harness.startGateway()
    const { fixture, gateway } = harness
    const [begun, ...others] = fixture.engines
    begun!.pauseMs = 1_600
    for (const engine of others) {
      engine.headDelayMs = headDelayMs
      fixture.unregister(engine)
    }
    await waitFor(() => gateway.getEvents('target-removed').length === others.length)
    for (let index = 0; index < STREAMS; index++) {
      begun!.nextBehaviours.push(first)
      for (const engine of others) engine.nextBehaviours.push(other)
    }
    const responses = Array.from({ length: STREAMS }, async (_, index) =>
      await harness.call({ id: `s${index}`, path: '/turns/resumable/a', body: `input ${index}` }))
    await waitFor(() => gateway.getEvents('dispatched').length === STREAMS)
    for (const engine of others) fixture.register(engine)
    const isWhole = ({ status, isComplete, body }: PlatformCallResponse): boolean => status === 200 && isComplete && body === STREAM_BODY
    return (await Promise.all(responses)).filter(isWhole).length
  }

  it('should not end a sound response for one without a signature', async () => {
    expect(await countWhole('pause', 'unsigned')).toEqual(STREAMS)
  })

  it('should not end a sound response for one that sends a head and no event', async () => {
    expect(await countWhole('pause', 'head-hang')).toEqual(STREAMS)
  })

  it('should continue at the other target when the first one ends within an event while it is asked', async () => {
    expect(await countWhole('pause-end', 'answer', { headDelayMs: 600 })).toEqual(STREAMS)
  })

  it('should continue at the other target when the first one goes on and breaks off later', async () => {
    expect(await countWhole('pause-go-reset', 'answer', { headDelayMs: 600 })).toEqual(STREAMS)
  })

  it('should not use more targets than the route allows when the first one ends within an event', async () => {
    await countWhole('pause-end', 'answer', { engines: 3, headDelayMs: 600 })
    const { engines } = harness.fixture
    const used = Array.from({ length: STREAMS }, (_, index) =>
      engines.filter(engine => engine.runs.some(run => run.id === `s${index}`)).length)
    expect(Math.max(...used)).toEqual(2)
  })

  it('should ask a target again that was full', async () => {
    expect(await countWhole('stall', 'not-run')).toEqual(STREAMS)
  })

  it('should record a target that breaks off while another one is asked as crashed, until the other one completes the stream', async () => {
    expect(await countWhole('pause-reset', 'answer', { headDelayMs: 600 })).toEqual(STREAMS)
    await new Promise(resolve => { setTimeout(resolve, 1_000) })
    expect(harness.gateway.getEvents('connection-lost').length).toEqual(STREAMS)
    expect((await harness.fixture.store.rows.read({ table: 'suspects', part: '' })).rows.length).toEqual(0)
  })
})
