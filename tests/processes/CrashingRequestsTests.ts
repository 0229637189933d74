import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { REFUSE_AFTER_INCARNATIONS } from '../../src/core/suspect/index.js'
import type { EngineResponder, EngineStandin } from '../../tools/platform/EngineStandin.js'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'
import { waitFor } from './GatewayHarness.js'

/** Targets of each of the two services. */
const TARGETS = 8

/** Requests that crash each target that runs them, by path. */
const POISON = ['/lookup/p1', '/lookup/p2', '/turns/resumable/p3', '/turns/kept/p4']

/** Milliseconds for which callers send these requests again and again. */
const DURATION_MS = 10_000

/** Milliseconds between the answer to a caller and its next try. */
const RETURN_MS = 500

/** Milliseconds after which a crashed target is back. */
const RESTART_MS = 1_500

/** What a target does with a request before it crashes, and the milliseconds until then. */
const CRASHES: Readonly<Record<string, { readonly afterMs: number, readonly begin?: (id: string, res: ServerResponse) => void }>> = {
  'at once': { afterMs: 0 },
  '600 ms later': { afterMs: 600 },
  'in the head of its response': { afterMs: 20, begin: (_id, res) => { res.socket!.write('HTTP/1.1 200 OK\r\nx-req') } },
  'in the body of its response': {
    afterMs: 20,
    begin: (id, res) => { res.writeHead(200, { 'x-request-id': id, 'x-response-signature': 's', 'content-length': '90' }).write('id: 1\nda') }
  }
}

/** `contactMs` of the sites, in milliseconds, and the runs that BUDGET allows later than that after a request's third crash. */
const CONTACT_MS = 4_000
const MAX_LATE_RUNS = 3

// Fails when crashes count as those of a failure domain because other requests crash other targets at the same time.
describe('gateways whose targets are crashed by several requests at once', () => {
  let fixture: PlatformFixture
  let gateways: GatewayProcess[]
  let isClosed: boolean
  const down = new Set<EngineStandin>()

  beforeEach(async () => {
    isClosed = false
    down.clear()
    fixture = new PlatformFixture()
    await fixture.start({ engines: TARGETS, desks: TARGETS })
    gateways = []
    for (const id of ['gateway-1', 'gateway-2']) gateways.push(await GatewayProcess.start({ id, storeAddress: fixture.storeAddress }))
    await waitFor(() => gateways.every(gateway => gateway.getEvents('peers-known').length > 0))
  })

  afterEach(async () => {
    isClosed = true
    for (const gateway of gateways) await gateway.kill()
    fixture.close()
  })

  for (const [name, crash] of Object.entries(CRASHES)) {
    it(`should stop sending each of them: a target crashes ${name}`, async () => {
      for (const standin of getTargets()) for (const path of POISON) standin.responders.set(path, respondWith(crash))
      const endsAt = performance.now() + DURATION_MS
      const plainStatuses: number[] = []
      await Promise.all([
        ...POISON.map(async (path, at) => { await sendAgain(path, at, endsAt) }),
        ...gateways.map(async gateway => {
          for (let at = 0; performance.now() < endsAt; at++) {
            const id = `plain-${gateway.callerAddress}-${at}`
            const { status } = await callPlatform(gateway.callerAddress, { id, path: `/lookup/plain${at}` })
            plainStatuses.push(status)
            await sleep(50)
          }
        })
      ])
      const lateRuns = POISON.map(path => ({ path, late: countLateRuns(path) }))
      expect(lateRuns.filter(({ late }) => late > MAX_LATE_RUNS)).toEqual([])
      // Once the requests are refused, nothing crashes any more.
      expect(plainStatuses.slice(-20)).toEqual(Array.from({ length: 20 }, () => 200))
    })
  }

  function getTargets (): EngineStandin[] {
    return [...fixture.engines, ...fixture.desks]
  }

  /** Crashes a target some time after a request has arrived, and starts it again. */
  function respondWith ({ afterMs, begin }: typeof CRASHES[string]): EngineResponder {
    return (run, res, target) => {
      begin?.(run.id, res)
      void sleep(afterMs).then(async () => {
        if (isClosed || down.has(target)) return
        down.add(target)
        target.crash()
        await sleep(RESTART_MS)
        if (isClosed) return
        await target.start()
        fixture.register(target)
        down.delete(target)
      })
    }
  }

  async function sendAgain (path: string, caller: number, endsAt: number): Promise<void> {
    for (let at = 0; performance.now() < endsAt; at++) {
      const gateway = gateways[(at + caller) % gateways.length]!
      const headers = { 'x-program-id': `program-${caller}`, 'x-token-budget': '100000', 'x-token-usage': '10,50' }
      await callPlatform(gateway.callerAddress, { id: `${path}-${at}`, path, body: 'x', headers }).catch(() => {})
      await sleep(RETURN_MS)
    }
  }

  /** Gets the runs of a path later than the contact time after its third crash. */
  function countLateRuns (path: string): number {
    const times = getTargets().flatMap(({ runs }) => runs).filter(run => run.url === path).map(run => run.at).sort((a, b) => a - b)
    const third = times[REFUSE_AFTER_INCARNATIONS - 1] ?? Infinity
    return times.filter(at => at > third + CONTACT_MS).length
  }
})
