import { expect } from 'earl'
import type { PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import { FIXTURE_HOST } from '../../tools/platform/PlatformFixture.js'
import { GatewayHarness, sendBytes, STREAM_BODY, waitFor } from './GatewayHarness.js'

describe('a gateway with stand-ins for the platform', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  it('should respond to a lookup with the unchanged body and signature of the target', async () => {
    const response = await harness.call({ id: 'r1', path: '/lookup/x?y=%2e%2e' })
    expect(response.body).toEqual('answer to /lookup/x?y=%2e%2e')
    expect(response.headers['x-response-signature']).toEqual('signed-r1')
  })

  it('should retry a lookup on another target, but never a booking that may have run', async () => {
    harness.setNextBehaviour('reset', false)
    harness.setNextBehaviour('reset', false)
    for (const index of [1, 2, 3, 4]) {
      expect((await harness.call({ id: `l${index}`, path: '/lookup/x' })).status).toEqual(200)
    }
    harness.setNextBehaviour('reset')
    const booking = await harness.call({ id: 'b1', path: '/booking/x', body: 'bench 4' })
    expect(booking.status).toEqual(502)
    expect(harness.getRuns('b1').length).toEqual(1)
  })

  it('should retry a booking on another target when the target states that it did not run it', async () => {
    for (const desk of harness.fixture.desks) desk.nextBehaviours.push(...Array.from({ length: 100 }, () => 'not-run' as const))
    const refused = await harness.call({ id: 'b1', path: '/booking/x', body: 'bench 4' })
    expect(refused.status).toEqual(503)
    expect(Number(refused.headers['retry-after']) > 0).toEqual(true)
    for (const desk of harness.fixture.desks) desk.nextBehaviours.length = 0
    harness.fixture.desks[0]!.nextBehaviours.push('not-run')
    const responses = await Promise.all(['b2', 'b3'].map(async id => await harness.call({ id, path: '/booking/x', body: 'bench 4' })))
    expect(responses.map(response => response.status)).toEqual([200, 200])
  })

  // A booking failed once both targets had refused it, even if one had a place a moment later.
  it('should ask full targets again after a moment, and run a booking once', async () => {
    for (const desk of harness.fixture.desks) desk.nextBehaviours.push('not-run')
    const response = await harness.call({ id: 'b4', path: '/booking/x', body: 'bench 4' })
    expect(response.status).toEqual(200)
    expect(harness.fixture.desks.map(desk => desk.nextBehaviours.length)).toEqual([0, 0])
    await waitFor(() => harness.gateway.getEvents('answered').some(event => event.req === 'b4'))
    expect(harness.gateway.getEvents('dispatched').filter(event => event.req === 'b4').length).toEqual(3)
  })

  it('should not relay a response that is unsigned, truncated, for another request or an unproved refusal', async () => {
    for (const behaviour of ['unsigned', 'cut-length', 'other-request', 'refuse-unproved'] as const) {
      harness.fixture.desks.forEach(desk => { desk.nextBehaviours.length = 0 })
      harness.setNextBehaviour(behaviour)
      const response = await harness.call({ id: `b-${behaviour}`, path: '/booking/x', body: 'bench 4' })
      expect([behaviour, response.status]).toEqual([behaviour, 502])
    }
  })

  it('should resume a stream at another target after its last complete event, in the same response', async () => {
    harness.setNextBehaviour('break-off')
    harness.fixture.engines[1]!.nextBehaviours.length = 0
    const ids = ['s1', 's2', 's3', 's4']
    const responses = await Promise.all(ids.map(async id => await harness.sendTurn(id, {}, 'x', '/turns/resumable/a')))
    expect(responses.map(response => response.body)).toEqual(ids.map(() => STREAM_BODY))
  })

  // Callers of this route wait 2.4 s for an event.
  it('should resume a stream at another target when its own sends bytes but no events', async () => {
    harness.setNextBehaviour('trickle')
    harness.fixture.engines[1]!.nextBehaviours.length = 0
    const ids = ['s1', 's2', 's3', 's4']
    const responses = await Promise.all(ids.map(async id => await harness.sendTurn(id, {}, 'x', '/turns/resumable/a')))
    expect(responses.map(response => response.body)).toEqual(ids.map(() => STREAM_BODY))
    expect(ids.filter(id => harness.getRuns(id).length === 2).length).toEqual(1)
  })

  it('should not resume a stream that is slow but sends events within the time that its caller waits', async () => {
    for (const engine of harness.fixture.engines) engine.gate = new Promise(resolve => { setTimeout(resolve, 900) })
    const response = await harness.sendTurn('s1', {}, 'x', '/turns/resumable/a')
    expect([response.body, harness.getRuns('s1').length]).toEqual([STREAM_BODY, 1])
  })

  it('should not write the error of a second target into a stream that has started', async () => {
    // The first target is chosen at random; only runs in which the stream has started matter here.
    const startedResponses: PlatformCallResponse[] = []
    for (let index = 0; index < 40 && startedResponses.length === 0; index++) {
      harness.fixture.engines[0]!.nextBehaviours.splice(0, 1, 'break-off')
      harness.fixture.engines[1]!.nextBehaviours.splice(0, 1, 'fail')
      const response = await harness.sendTurn(`s${index}`, { 'x-program-id': `p-${index}` }, `turn ${index}`, '/turns/resumable/a')
      if (response.status === 200) startedResponses.push(response)
    }
    expect(startedResponses.map(response => [response.body, response.isComplete])).toEqual([['id: 1\ndata: first\n\n', false]])
  })

  it('should abort a stream that may not be resumed where its target aborted it', async () => {
    harness.setNextBehaviour('break-off')
    const response = await harness.sendTurn('t1', {}, 'x')
    expect(response.body).toEqual('id: 1\ndata: first\n\n')
    expect(response.isComplete).toEqual(false)
  })

  it('should abort a stream at its target when the caller disconnects', async () => {
    let openGate = (): void => {}
    for (const engine of harness.fixture.engines) engine.gate = new Promise(resolve => { openGate = resolve })
    const abortController = new AbortController()
    const response = harness.call({
      id: 't1', path: '/turns/kept/a', body: 'x', signal: abortController.signal, onData: () => { abortController.abort() }
    })
    await response
    await waitFor(() => harness.fixture.engines.some(engine => engine.runs.some(run => run.isAbandoned)))
    openGate()
  })

  it('should respond when the route\'s time limit has passed', async () => {
    harness.fixture.configure({ timeoutMs: 300 })
    await waitFor(() => harness.gateway.getEvents('config-adopted').length === 2)
    harness.setNextBehaviour('hang')
    const startedAt = Date.now()
    expect((await harness.call({ id: 'b1', path: '/booking/x', body: 'x' })).status).toEqual(504)
    expect(Date.now() - startedAt < 800).toEqual(true)
  })

  it('should refuse requests that are ambiguous, malformed or exceed the limits', async () => {
    const start = `POST /booking/x HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: raw\r\n`
    const cases: Array<[string, string]> = [
      [`${start}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, '400'],
      [`${start}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd`, '400'],
      [`${start}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n`, '400'],
      [`${start}X-Long: ${'x'.repeat(5_000)}\r\n\r\n`, '431'],
      [`${start}Content-Length: 70000\r\n\r\n`, '413'],
      [`${start}Host: other.example\r\n\r\n`, '400'],
      ['NONSENSE\r\n\r\n', '400']
    ]
    for (const [bytes, status] of cases) {
      const response = await sendBytes(harness.gateway.callerAddress, bytes)
      expect([bytes.slice(0, 120), response.slice(0, 12)]).toEqual([bytes.slice(0, 120), `HTTP/1.1 ${status}`])
    }
    expect(harness.getRuns('raw')).toEqual([])
  })
})
