import { expect } from 'earl'
import { getSuspectDigests, toSuspectRow } from '../../src/core/suspect/index.js'
import { FIXTURE_HOST } from '../../tools/platform/PlatformFixture.js'
import { GatewayHarness, waitFor } from './GatewayHarness.js'

/** Number of times that targets crash. */
const CRASHES = 3

/** Requests at the same time when all targets crash. */
const REQUESTS = 8

/** Milliseconds for which a request waits at least, so that a change of the store is known before. */
const MIN_WAIT_MS = 150

describe('a gateway whose targets crash', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  /** Registers the targets of a service with new start times and waits until the gateway has read them. */
  async function restart (standins: GatewayHarness['fixture']['engines']): Promise<void> {
    const changes = harness.gateway.getEvents('target-changed').length
    for (const standin of standins) {
      standin.nextBehaviours.length = 0
      harness.fixture.register(standin)
    }
    await waitFor(() => harness.gateway.getEvents('target-changed').length >= changes + standins.length)
  }

  // BUDGET: a request without a body was not recognized.
  it('should refuse a request without a body that crashes each of them, and no other', async () => {
    const { desks } = harness.fixture
    for (let crash = 1; crash <= CRASHES; crash++) {
      for (const desk of desks) desk.nextBehaviours.push('reset')
      await harness.call({ id: `c${crash}`, path: '/booking/x', method: 'GET' })
      await waitFor(() => harness.gateway.getEvents('crash-counted').length === crash)
      await restart(desks)
    }
    expect((await harness.call({ id: 'again', path: '/booking/x', method: 'GET' })).status).toEqual(503)
    expect(harness.getRuns('again')).toEqual([])
    expect((await harness.call({ id: 'other', path: '/booking/y', method: 'GET' })).status).toEqual(200)
  })

  // BUDGET: a request was checked before it waited for a target, and was sent although its third crash had become known meanwhile.
  it('should refuse requests that wait for a target when their third crash becomes known', async () => {
    const { desks, store } = harness.fixture
    for (const desk of desks) desk.requestsPerSecond = 2
    const [path, body] = ['/lookup/x', 'x']
    const getAwaited = (): string[] => {
      return harness.gateway.getEvents('permit-awaited').filter(({ waitMs }) => Number(waitMs) > MIN_WAIT_MS).map(({ req }) => String(req))
    }
    const sent: Array<Promise<unknown>> = []
    for (let at = 0; getAwaited().length === 0; at++) {
      sent.push(harness.call({ id: `w${at}`, path, body }))
      await new Promise(resolve => { setTimeout(resolve, 20) })
    }
    const { content } = getSuspectDigests({
      workspace: undefined, program: undefined, method: 'POST', host: FIXTURE_HOST, target: path, previousTurn: undefined, body: Buffer.from(body)
    })
    store.rows.apply({ puts: ['a', 'b', 'c'].map(incarnation => toSuspectRow(content, incarnation, undefined)) })
    await Promise.all(sent)
    const awaited = getAwaited()
    expect(awaited.flatMap(id => harness.getRuns(id))).toEqual([])
    const isRefused = (id: string): boolean => {
      return harness.gateway.getEvents('refused').some(({ req, reason }) => req === id && reason === 'crashes-targets')
    }
    await waitFor(() => awaited.every(isRefused))
  })

  // LOST: all turns with a common input were refused for good after the crash of a failure domain.
  it('should go on serving the input of requests that were in progress when all of them crashed together', async () => {
    const { engines } = harness.fixture
    for (let crash = 1; crash <= CRASHES; crash++) {
      for (const engine of engines) for (let at = 0; at < REQUESTS; at++) engine.nextBehaviours.push('reset')
      const ids = Array.from({ length: REQUESTS }, (_, at) => `t${crash}-${at}`)
      await Promise.all(ids.map(async id => await harness.sendTurn(id, { 'x-program-id': id }, 'continue')))
      expect(engines.every(engine => engine.runs.some(run => ids.includes(run.id)))).toEqual(true)
      await restart(engines)
    }
    const turns = await Promise.all(Array.from({ length: REQUESTS }, async (_, at) => {
      return await harness.sendTurn(`later-${at}`, { 'x-program-id': `later-${at}` }, 'continue')
    }))
    expect(turns.map(({ status }) => status)).toEqual(turns.map(() => 200))
    expect(harness.gateway.getEvents('suspect-confirmed')).toEqual([])
  })
})
