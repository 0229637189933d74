import { expect } from 'earl'
import type { EngineStandin } from '../../tools/platform/EngineStandin.js'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform, type PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'

/** Milliseconds of the window in which requests are counted. */
const WINDOW_MS = 4_000

/** Milliseconds for the news of a limit to reach all gateways. */
const NOTICE_MS = 1_000

/** Milliseconds for which callers send requests. */
const LOAD_MS = 6_000

/** Milliseconds between two requests of the callers, in rotation over the gateways. */
const REQUEST_INTERVAL_MS = 40

// A target got more requests than the limit that it had stated: each gateway relayed the limit to callers and sent on as before.
describe('gateways before targets that limit their request rate', () => {
  let fixture: PlatformFixture
  let gateways: GatewayProcess[]

  beforeEach(async () => {
    fixture = new PlatformFixture()
    await fixture.start()
    gateways = await Promise.all([1, 2, 3].map(async at => await GatewayProcess.start({ id: `gateway-${at}`, storeAddress: fixture.storeAddress })))
    await Promise.all(gateways.map(waitForPeers))
  })

  afterEach(async () => {
    await Promise.all(gateways.map(async gateway => { await gateway.kill() }))
    fixture.close()
  })

  it('should stay within the limit of a target, over all gateways, and serve the rest elsewhere', async () => {
    const [limited, other] = fixture.desks as [EngineStandin, EngineStandin]
    limited.requestsPerSecond = 2
    const responses = await sendLoad('/lookup/x')
    expect(responses.every(response => response.status === 200)).toEqual(true)
    expect(getMostInWindow(limited) <= getAllowed(2)).toEqual(true)
    // The limit is used, too: at least half of what the target accepts.
    expect(countAfterNotice(limited) >= 2 * (LOAD_MS - NOTICE_MS) / 1_000 / 2).toEqual(true)
    expect(countAfterNotice(other) > countAfterNotice(limited)).toEqual(true)
  })

  it('should use a target without a limit again after its limit has ended', async () => {
    const [limited] = fixture.desks as [EngineStandin]
    limited.requestsPerSecond = 2
    await sendLoad('/lookup/x', 2_000)
    limited.requestsPerSecond = undefined
    await sendLoad('/lookup/x', 2_000)
    const before = limited.arrivals.length
    await sendLoad('/lookup/x', 2_000)
    expect(limited.arrivals.length - before >= 10).toEqual(true)
  })

  it('should refuse at once what exceeds the limits of all targets, with a time to retry, and serve the rest', async () => {
    for (const desk of fixture.desks) desk.requestsPerSecond = 2
    const responses = await sendLoad('/lookup/x')
    for (const desk of fixture.desks) expect(getMostInWindow(desk) <= getAllowed(2)).toEqual(true)
    const refused = responses.filter(response => response.status === 503)
    expect(responses.filter(response => response.status === 200).length >= 12).toEqual(true)
    expect(refused.length >= 60).toEqual(true)
    expect(refused.every(response => Number(response.headers['retry-after']) > 0)).toEqual(true)
  })

  it('should stay within the limit while the gateways restart one after the other', async () => {
    const [limited] = fixture.desks as [EngineStandin]
    limited.requestsPerSecond = 2
    const load = sendLoad('/lookup/x')
    for (const at of [0, 1, 2]) {
      await new Promise(resolve => { setTimeout(resolve, 1_300) })
      await gateways[at]!.kill()
      gateways[at] = await GatewayProcess.start({ id: `gateway-${at + 1}`, storeAddress: fixture.storeAddress })
    }
    await load
    expect(getMostInWindow(limited) <= getAllowed(2)).toEqual(true)
  })

  async function sendLoad (path: string, durationMs = LOAD_MS): Promise<PlatformCallResponse[]> {
    const calls: Array<Promise<PlatformCallResponse>> = []
    const startedAt = performance.now()
    for (let at = 0; performance.now() - startedAt < durationMs; at++) {
      const { callerAddress } = gateways[at % gateways.length]!
      calls.push(callPlatform(callerAddress, { id: `r-${startedAt}-${at}`, path }))
      await new Promise(resolve => { setTimeout(resolve, REQUEST_INTERVAL_MS) })
    }
    return await Promise.all(calls)
  }
})

/** Gets the number of requests in a window that the rule allows. */
function getAllowed (perSecond: number): number {
  return 1.5 * perSecond * WINDOW_MS / 1_000 + 5
}

/** Gets the largest number of requests in any window that begins after the notice. */
function getMostInWindow (target: EngineStandin): number {
  const times = getTimesAfterNotice(target)
  return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + WINDOW_MS).length))
}

function countAfterNotice (target: EngineStandin): number {
  return getTimesAfterNotice(target).length
}

function getTimesAfterNotice (target: EngineStandin): number[] {
  const [first = 0] = target.arrivals
  return target.arrivals.filter(time => time >= first + NOTICE_MS)
}

async function waitForPeers (gateway: GatewayProcess): Promise<void> {
  const deadline = performance.now() + 10_000
  while (!gateway.getEvents('peers-known').some(event => (event.peers as string[]).length === 3)) {
    if (performance.now() > deadline) throw new Error('the gateways did not find each other within 10 s')
    await new Promise(resolve => { setTimeout(resolve, 10) })
  }
}
