import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'
import { waitFor } from './GatewayHarness.js'
import { RawCaller, toBytes } from './RawCaller.js'

/** Callers of each kind at each gateway. */
const CALLERS = 4

/** Milliseconds after the start at which each gateway is stopped; their grace periods of eight seconds overlap. */
const STOPS_MS = [500, 3_000]

/** Work of bookings in milliseconds, by desk, and the time limits of their callers. */
const WORKS_MS = [40, 300, 900, 1_800]
const LIMITS_MS = [1_000, 2_500, 5_000]

/** Time limits of callers of streams, which last up to 1.2 s. */
const STREAM_LIMITS_MS = [2_500, 5_000]

/** Milliseconds between the parts of a slow body. */
const PART_GAP_MS = 300

/** What a caller got for one request. */
interface Outcome {
  readonly id: string
  readonly status: number
  readonly isWhole: boolean
}

// Fails when a planned stop, in calm, cuts requests that came late in the grace and were passed on.
describe('two gateways that are stopped in turn', () => {
  let fixture: PlatformFixture
  let gateways: GatewayProcess[]
  let outcomes: Outcome[]

  beforeEach(async () => {
    fixture = new PlatformFixture()
    outcomes = []
    await fixture.start({ engines: 4, desks: WORKS_MS.length, route: { timeoutMs: 5_000 } })
    fixture.desks.forEach((desk, index) => { desk.workMs = WORKS_MS[index]! })
    fixture.engines.forEach((engine, index) => { engine.eventGapMs = 150 * (index + 1) })
    gateways = []
    for (const id of ['gateway-1', 'gateway-2']) gateways.push(await GatewayProcess.start({ id, storeAddress: fixture.storeAddress }))
  })

  afterEach(async () => {
    for (const gateway of gateways) await gateway.kill()
    fixture.close()
  })

  it('should answer all that they have passed on: kept connections, streams, slow bodies and pipelined requests', async () => {
    const isExited = gateways.map(() => false)
    const kinds = [sendBookings, sendStreams, sendSlowBodies, sendPipelined]
    const callAgain = async (index: number, kind: number, caller: number): Promise<void> => {
      const { callerAddress } = gateways[index]!
      for (let round = 0; !isExited[index]!; round++) {
        await kinds[kind]!(callerAddress, `${index}-${kind}-${caller}-${round}`, caller + round)
      }
    }
    const callers = gateways.flatMap((_gateway, index) => kinds.flatMap((_send, kind) => {
      return Array.from({ length: CALLERS }, async (_, caller) => { await callAgain(index, kind, caller) })
    }))
    const exits = gateways.map(async (gateway, index) => {
      await gateway.waitForExit()
      isExited[index] = true
    })
    for (const [index, gateway] of gateways.entries()) {
      void sleep(STOPS_MS[index]!).then(() => { gateway.signal('SIGTERM') })
    }
    await Promise.all([...callers, ...exits])
    const runs = [...fixture.engines, ...fixture.desks].flatMap(target => target.runs)
    const ran = new Set(runs.map(run => run.id))
    expect(outcomes.filter(({ id, isWhole }) => ran.has(id) && !isWhole)).toEqual([])
    expect(outcomes.filter(({ id, status }) => ran.has(id) && status === 503)).toEqual([])
    // Both gateways served through their notice, and refused what could not end.
    expect(outcomes.filter(({ status }) => status === 200).length > 100).toEqual(true)
    expect(outcomes.some(({ status }) => status === 503)).toEqual(true)
    expect(gateways.flatMap(gateway => gateway.getEvents('stopped')).map(event => event.inProgress)).toEqual([0, 0])
  })

  async function sendBookings (address: string, id: string, at: number): Promise<void> {
    await sendKept(address, id, '/booking/x', LIMITS_MS[at % LIMITS_MS.length]!)
  }

  async function sendStreams (address: string, id: string, at: number): Promise<void> {
    await sendKept(address, id, '/turns/resumable/x', STREAM_LIMITS_MS[at % STREAM_LIMITS_MS.length]!)
  }

  /** Sends requests on one connection until it is closed. */
  async function sendKept (address: string, prefix: string, path: string, limitMs: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    for (let at = 0; ; at++) {
      const id = `${prefix}-${at}`
      const limit = { 'x-timeout-ms': String(limitMs) }
      const { status, isComplete, headers } = await callPlatform(address, { id, path, agent, body: 'x', headers: limit })
      outcomes.push({ id, status, isWhole: isComplete })
      if (status === 0 || headers.connection === 'close') break
    }
    agent.destroy()
    await sleep(50)
  }

  /** Sends a request whose body comes in parts. */
  async function sendSlowBodies (address: string, id: string): Promise<void> {
    await sendRaw(address, [id], async caller => {
      const bytes = toBytes({ id, path: '/booking/x', body: 'parts of a body', headers: { 'X-Timeout-Ms': '3000' } })
      for (const part of [bytes.slice(0, -10), bytes.slice(-10, -5), bytes.slice(-5)]) {
        caller.write(part)
        await sleep(PART_GAP_MS)
      }
    })
  }

  /** Sends two requests at once on one connection. */
  async function sendPipelined (address: string, id: string): Promise<void> {
    const ids = [`${id}-first`, `${id}-second`]
    await sendRaw(address, ids, async caller => {
      caller.write(ids.map(name => toBytes({ id: name, path: '/booking/x', body: 'x', headers: { 'X-Timeout-Ms': '2500' } })).join(''))
    })
  }

  async function sendRaw (address: string, ids: readonly string[], send: (caller: RawCaller) => Promise<void>): Promise<void> {
    const caller = await RawCaller.connect(address).catch(() => undefined)
    if (caller === undefined) {
      await sleep(100)
      return
    }
    await send(caller)
    await waitFor(() => caller.isClosed || countWhole(caller) >= ids.length)
    const statuses = caller.getStatuses()
    const whole = countWhole(caller)
    ids.forEach((id, at) => { outcomes.push({ id, status: statuses[at] ?? 0, isWhole: at < whole }) })
    caller.close()
  }
})

/** Counts the whole responses to bookings, which end with the path or with a problem document. */
function countWhole (caller: RawCaller): number {
  return [...caller.received.matchAll(/answer to \/booking\/x|"type":[^}]*\}/g)].length
}
