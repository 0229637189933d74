import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { GatewayHarness, STREAM_BODY, waitFor } from './GatewayHarness.js'

describe('a pause of the gateway while targets answer', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  async function pause (ms: number): Promise<void> {
    harness.gateway.signal('SIGSTOP')
    await sleep(ms)
    harness.gateway.signal('SIGCONT')
  }

  // The route's time limit is 2 s.
  it('should pass on answers that arrived during the pause, though their time limit has passed', async () => {
    for (const desk of harness.fixture.desks) desk.workMs = 500
    const ids = ['b1', 'b2', 'b3', 'b4']
    const responses = ids.map(async id => await harness.call({ id, path: '/booking/x', body: 'bench 4' }))
    await waitFor(() => ids.every(id => harness.getRuns(id).length === 1))
    await pause(2_500)
    expect((await Promise.all(responses)).map(response => response.status)).toEqual([200, 200, 200, 200])
  })

  // Callers of this route wait 2.4 s for an event, a stream is taken to be stalled after half of that.
  it('should not count a stream as stalled whose events arrived during the pause', async () => {
    harness.fixture.configure({ timeoutMs: 10_000 })
    await waitFor(() => harness.gateway.getEvents('config-adopted').length === 2)
    for (const engine of harness.fixture.engines) engine.eventGapMs = 400
    const ids = ['s1', 's2', 's3', 's4']
    const headers = { 'x-timeout-ms': '10000' }
    const responses = ids.map(async id => await harness.sendTurn(id, headers, 'x', '/turns/resumable/a'))
    await waitFor(() => ids.every(id => harness.getRuns(id).length === 1))
    await sleep(100)
    await pause(2_000)
    expect((await Promise.all(responses)).map(response => response.body)).toEqual(ids.map(() => STREAM_BODY))
    expect(ids.map(id => harness.getRuns(id).length)).toEqual([1, 1, 1, 1])
  })
})
