import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'earl'
import { GatewayHarness, waitFor } from './GatewayHarness.js'
import { measurePeakBytes, MEMORY_BYTES } from './ProcessUsage.js'

/** Largest body that the configuration allows. */
const BODY_BYTES = 4_194_304

/** Number of bodies at the same time. */
const BODIES = 30

// Fails when each request may hold its body in memory whatever all others hold.
describe('a gateway whose target does not read', () => {
  const harness = new GatewayHarness()
  const sockets = new Set<Socket>()
  let target: Server

  before(async () => {
    harness.fixture.maxBodyBytes = BODY_BYTES
    await harness.start()
    target = createServer({ pauseOnConnect: true }, socket => { sockets.add(socket.on('error', () => {})) })
    await new Promise<void>(resolve => target.listen(0, '127.0.0.1', resolve))
  })

  after(async () => {
    for (const socket of sockets) socket.destroy()
    target.close()
    await harness.stop()
  })

  it('should refuse, as not run, large bodies beyond its memory, and serve others and later ones', async () => {
    const { fixture, gateway } = harness
    const { pid } = gateway
    fixture.replaceDesks(`127.0.0.1:${(target.address() as AddressInfo).port}`)
    await waitFor(() => gateway.getEvents('target-changed').length >= 2)
    const body = 'x'.repeat(BODY_BYTES)
    const peakBytes = await measurePeakBytes(pid, async () => {
      const large = Promise.all(Array.from({ length: BODIES }, async (_, at) => await harness.call({ id: `b${at}`, path: '/booking/a', body })))
      const turns = await Promise.all(Array.from({ length: 10 }, async (_, at) => await harness.sendTurn(`t${at}`, { 'x-program-id': `p${at}` }, 'x')))
      expect(turns.map(({ status }) => status)).toEqual(turns.map(() => 200))
      const refused = (await large).filter(({ status }) => status === 503)
      expect(refused.length > 0 && refused.length < BODIES).toEqual(true)
      expect(refused.every(({ headers }) => Number(headers['retry-after']) > 0)).toEqual(true)
    })
    const context = `${Math.round(peakBytes / 1e6)} MB`
    expect({ context, isBounded: peakBytes < MEMORY_BYTES }).toEqual({ context, isBounded: true })
    for (const desk of fixture.desks) fixture.restoreAddress(desk)
    await waitFor(() => gateway.getEvents('target-changed').length >= 4)
    expect((await harness.call({ id: 'later', path: '/booking/a', body })).status).toEqual(200)
  })
})
