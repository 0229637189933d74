import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform, type PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'
import { waitFor } from './GatewayHarness.js'

/** Requests that one target and all targets run at once, and milliseconds of a run. */
const PLACES = 2
const ALL_PLACES = 4
const RUN_MS = 50

/** Milliseconds that callers and routes allow; requests wait for half of it at most, and never for longer than 3 s. */
const TIMEOUT_MS = 8_000

/** Milliseconds after which a store that does not respond closes connections; gateways wait for 0.7 s, or 1.6 s for changes. */
const SILENT_STORE_MS = 2_000

describe('admission under failure', function () {
  this.timeout(15_000)
  let fixture: PlatformFixture
  let gateways: GatewayProcess[]
  /** Ids of the requests that targets have begun to run, in order. */
  let ran: string[]
  /** Status of each request; 0 for a closed connection. */
  let outcomes: Map<string, number>
  /** Ends the shortage: until then no run ends. */
  let openRoom: () => void

  beforeEach(async () => {
    ran = []
    outcomes = new Map()
    const room = new Promise<void>(resolve => { openRoom = resolve })
    fixture = new PlatformFixture()
    await fixture.start({ engines: 0 })
    // Requests that may not be repeated run once at most, whatever the pace of the machine.
    const routes = [0, 2].map(priority => (
      { kind: 'non_idempotent', service: 'desk', timeoutMs: TIMEOUT_MS, name: `p${priority}`, pathPrefix: `/p${priority}/`, priority }
    ))
    fixture.configure({}, [], { routes })
    for (const desk of fixture.desks) {
      let busy = 0
      desk.responders.set('/', ({ id }, res) => {
        if (busy >= PLACES) res.writeHead(503, { 'x-request-id': id, 'x-not-executed': '1' }).end()
        else {
          busy++
          ran.push(id)
          void room.then(async () => await sleep(RUN_MS)).then(() => {
            busy--
            res.writeHead(200, { 'x-request-id': id, 'x-response-signature': 's' }).end()
          })
        }
      })
    }
    await startGateways()
    for (let at = 0; at < ALL_PLACES; at++) void send(gateways[1]!, `fill-${at}`)
    await waitFor(() => ran.length === ALL_PLACES)
  })

  afterEach(async () => {
    await Promise.all(gateways.map(async gateway => { await gateway.kill() }))
    fixture.close()
  })

  async function startGateways (): Promise<void> {
    gateways = await Promise.all([1, 2].map(async at => await GatewayProcess.start({ id: `gateway-${at}`, storeAddress: fixture.storeAddress })))
  }

  /** Sends a request once; a refusal must state that the request has not run, and when its caller may return. */
  async function send (gateway: GatewayProcess, id: string, path = '/p0/x'): Promise<PlatformCallResponse> {
    const res = await callPlatform(gateway.callerAddress, { id, path, body: 'b', headers: { 'x-timeout-ms': String(TIMEOUT_MS) } })
    outcomes.set(id, res.status)
    if (res.status === 503) expect(JSON.parse(res.body)).toEqual(expect.subset({ outcome: 'not-run' }))
    if (res.status === 503) expect(Number(res.headers['retry-after']) > 0).toEqual(true)
    return res
  }

  /** Sends a request until it is served, six times at most; a caller whose connection is closed goes to the second gateway. */
  async function sendUntilServed (gateway: GatewayProcess, id: string, sendings = 6): Promise<void> {
    const res = await send(gateway, id)
    if (res.status === 200) return
    expect(sendings > 1).toEqual(true)
    await sleep(1_000 * Number(res.headers['retry-after'] ?? 0))
    await sendUntilServed(res.status === 0 ? gateways[1]! : gateway, `${id}+`, sendings - 1)
  }

  /** Waits until so many requests wait in a gateway or were refused; some of them are sent for a moment to ask whether there is room. */
  async function waitForWaiting (gateway: GatewayProcess, count: number): Promise<void> {
    for (let waiting = 0; waiting < count; await sleep(10)) {
      const [, gauge = 0] = /wisteria_requests_waiting\{service="desk"\} (\d+)/.exec(await (await fetch(gateway.metricsUrl)).text()) ?? []
      waiting = Number(gauge) + [...outcomes.values()].filter(status => status === 503).length
    }
  }

  /** Checks that each request that was served ran once, and no other one; those that took the places ran in any case. */
  function expectOneOutcomeEach (): void {
    const expected = [...outcomes.keys()].filter(id => outcomes.get(id) === 200 || id.startsWith('fill-'))
    expect(ran.filter(id => outcomes.has(id)).sort()).toEqual(expected.sort())
  }

  // Guards against requests that run although their gateway is dead and their callers send them again, and against refusals at the others.
  it('should run nothing that waited in a gateway that was killed, and serve the rest at the other one', async () => {
    const sent = [0, 1, 2, 3, 4, 5].map(async at => { await sendUntilServed(gateways[at % 2]!, `r${at}`) })
    await Promise.all(gateways.map(async gateway => { await waitForWaiting(gateway, 3) }))
    await gateways[0]!.kill()
    await waitFor(() => ['r0', 'r2', 'r4'].every(id => outcomes.has(id)))
    expect(['r0', 'r2', 'r4'].some(id => outcomes.get(id) === 0)).toEqual(true)
    openRoom()
    await Promise.all(sent)
    expect(['r1', 'r3', 'r5'].some(id => outcomes.get(id) === 200)).toEqual(true)
    expectOneOutcomeEach()
  })

  // Guards against an admission that needs the store for its order or its refusals.
  it('should order requests and give each one outcome while the store does not respond', async () => {
    // On a busy machine calls may also time out while a gateway starts.
    const isAway = (): boolean => gateways[0]!.getEvents('store-away').length > gateways[0]!.getEvents('store-back').length
    Object.assign(fixture.store, { latencyMs: SILENT_STORE_MS }).rows.failure = 'silent'
    await waitFor(isAway)
    const sent: Array<Promise<unknown>> = []
    for (const path of ['/p2/', '/p0/']) {
      for (let at = 0; at < 3 * ALL_PLACES; at++) sent.push(send(gateways[0]!, `${path}${at}`, `${path}x`))
      await waitForWaiting(gateways[0]!, sent.length)
    }
    openRoom()
    await Promise.all(sent)
    expect([...outcomes.values()].every(status => status === 200 || status === 503)).toEqual(true)
    expectOneOutcomeEach()
    // By arrival none would be urgent; one in eight is taken by age, and some less urgent ones are sent early to ask whether there is room.
    expect(ran.slice(ALL_PLACES, 3 * ALL_PLACES).filter(id => id.startsWith('/p0/')).length >= ALL_PLACES).toEqual(true)
    expect(isAway()).toEqual(true)
  })

  // Guards against gateways that take a shortage at their start for the lasting capacity of the targets.
  it('should refuse nothing that targets have room for after all gateways have restarted during a shortage', async () => {
    const cut = gateways.map(async (gateway, at) => await send(gateway, `before-${at}`))
    await Promise.all(gateways.map(async gateway => { await waitForWaiting(gateway, 1) }))
    await Promise.all(gateways.map(async gateway => { await gateway.kill() }))
    expect((await Promise.all(cut)).map(({ status }) => status)).toEqual([0, 0])
    await startGateways()
    const returned = gateways.map(async (gateway, at) => { await sendUntilServed(gateway, `after-${at}`) })
    await Promise.all(gateways.map(async gateway => { await waitForWaiting(gateway, 1) }))
    openRoom()
    await Promise.all(returned)
    await Promise.all([0, 1, 2, 3, 4, 5, 6, 7].map(async at => { expect((await send(gateways[at % 2]!, `room-${at}`)).status).toEqual(200) }))
    expectOneOutcomeEach()
  })
})
