import { expect } from 'earl'
import type { EngineStandin } from '../../tools/platform/EngineStandin.js'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'

/** Requests that a stand-in runs and queues at once. */
const PLACES = 2

/** Milliseconds of one run. */
const RUN_MS = 150

/** Milliseconds between two requests: three times of what two targets take. */
const INTERVAL_MS = 12

describe('gateways before targets that are full', () => {
  let fixture: PlatformFixture
  let gateways: GatewayProcess[]

  beforeEach(async () => {
    fixture = new PlatformFixture()
    await fixture.start()
    gateways = await Promise.all([1, 2].map(async at => await GatewayProcess.start({ id: `gateway-${at}`, storeAddress: fixture.storeAddress })))
  })

  afterEach(async () => {
    await Promise.all(gateways.map(async gateway => { await gateway.kill() }))
    fixture.close()
  })

  const sendLoad = async (count: number, intervalMs: number): Promise<Array<{ status: number | undefined, retryAfter: unknown }>> => {
    return await Promise.all(Array.from({ length: count }, async (_, at) => {
      await new Promise(resolve => { setTimeout(resolve, at * intervalMs) })
      const res = await callPlatform(gateways[at % 2]!.callerAddress, { id: `load-${at}`, path: '/lookup/x', body: 'b' })
      return { status: res.status, retryAfter: res.headers['retry-after'] }
    }))
  }

  // Requests were sent to full targets until their dispatches were used up, and failed within milliseconds.
  it('should let requests wait for a place instead of failing, and refuse what would not be served in time', async () => {
    for (const desk of fixture.desks) limitPlaces(desk)
    const responses = await sendLoad(150, INTERVAL_MS)
    const served = responses.filter(({ status }) => status === 200).length
    expect(responses.every(({ status, retryAfter }) => status === 200 || (status === 503 && Number(retryAfter) > 0))).toEqual(true)
    // The targets together run about 27 requests a second, for 1.8 s and the waits of up to a second after it.
    expect(served >= 52).toEqual(true)
    expect(gateways.some(gateway => gateway.getEvents('capacity-short').length > 0)).toEqual(true)
  })

  it('should let no request wait while the targets take the load', async () => {
    for (const desk of fixture.desks) limitPlaces(desk)
    const responses = await sendLoad(20, 100)
    expect(responses.every(({ status }) => status === 200)).toEqual(true)
    expect(gateways.flatMap(gateway => gateway.getEvents('capacity-short'))).toEqual([])
  })

  it('should state the urgency of requests at model engines only, and a more urgent one for a program in progress', async () => {
    const program = { 'x-program-id': 'p', 'x-token-usage': '10,50' }
    const call = async (id: string, path: string, headers = {}): Promise<void> => {
      await callPlatform(gateways[0]!.callerAddress, { id, path, body: 'b', headers: { ...program, ...headers } })
    }
    await call('first', '/turns/kept/a')
    await call('second', '/turns/kept/a', { 'x-previous-turn': 'first' })
    await call('tool', '/lookup/x')
    const runs = [...fixture.engines, ...fixture.desks].flatMap(({ runs }) => runs)
    const [first, second, tool] = ['first', 'second', 'tool'].map(id => runs.find(run => run.id === id)!.headers['x-request-priority'])
    expect(Number(second) < Number(first)).toEqual(true)
    expect(tool).toEqual(undefined)
  })
})

/** Makes a target refuse requests beyond its places. */
function limitPlaces (target: EngineStandin): void {
  let busy = 0
  target.responders.set('/lookup', ({ id }, res) => {
    if (busy >= PLACES) {
      res.writeHead(503, { 'X-Request-Id': id, 'X-Not-Executed': '1' }).end()
      return
    }
    busy++
    setTimeout(() => {
      busy--
      res.writeHead(200, { 'X-Request-Id': id, 'X-Response-Signature': 's' }).end('done')
    }, RUN_MS)
  })
}
