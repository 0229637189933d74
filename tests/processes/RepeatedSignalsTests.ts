import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { GatewayHarness, waitFor } from './GatewayHarness.js'

/** Milliseconds that a booking takes at its target. */
const WORK_MS = 900

describe('a gateway that gets further signals while it stops', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
    await harness.waitForReserves()
    for (const desk of harness.fixture.desks) desk.workMs = WORK_MS
  })

  afterEach(async () => { await harness.stop() })

  // review/6: a second SIGTERM ended the gateway at once, and cut what it had passed on.
  for (const series of [['SIGTERM'], ['SIGINT'], ['SIGHUP', 'SIGTERM', 'SIGTERM'], ['SIGTERM', 'SIGHUP', 'SIGINT']] as const) {
    it(`should answer what it has passed on, and hand over its reserves: ${series.join(', ')}`, async () => {
      const bookings = [1, 2, 3].map(async index => await harness.call({ id: `b${index}`, path: '/booking/x', body: 'bench 4' }))
      await waitFor(() => [1, 2, 3].every(index => harness.getRuns(`b${index}`).length === 1))
      harness.gateway.signal('SIGTERM')
      await waitFor(() => harness.gateway.getEvents('stopping').length === 1)
      for (const signal of series) {
        harness.gateway.signal(signal)
        await sleep(50)
      }
      const late = harness.call({ id: 'b4', path: '/booking/x', body: 'bench 4' })
      const responses = await Promise.all([...bookings, late])
      expect(responses.map(({ status, isComplete }) => [status, isComplete])).toEqual(Array(4).fill([200, true]))
      expect(await harness.gateway.waitForExit()).toEqual(0)
      expect(['stopping', 'reserves-left', 'stopped'].map(event => harness.gateway.getEvents(event).length)).toEqual([1, 1, 1])
    })
  }

  it('should end by SIGINT as by SIGTERM', async () => {
    const booking = harness.call({ id: 'b1', path: '/booking/x', body: 'bench 4' })
    await waitFor(() => harness.getRuns('b1').length === 1)
    harness.gateway.signal('SIGINT')
    expect((await booking).status).toEqual(200)
    expect(await harness.gateway.waitForExit()).toEqual(0)
  })
})
