import { expect } from 'earl'
import { GatewayHarness } from './GatewayHarness.js'
import { BODY_BYTES, HEAD_BYTES, OUTSIDE_LOADS, runLoad } from './OutsideCallers.js'

/** Number of connections of a load; few, since other tests run on the same machine. */
const CONNECTIONS = 30

/** Heap of the process, and the bound of its resident memory; a machine of the sites has 120 MB and 178 MB. */
const HEAP_MB = 60
const MAX_RESIDENT_BYTES = 140_000_000

/** Descriptors that the process may open, and the bound of what it opens; a machine of the sites has 4,100. */
const MAX_FDS = 400
const MAX_DESCRIPTORS = 360

/** Bytes of the response that callers do not read. */
const RESPONSE = Buffer.alloc(2_097_152, 'x')

/** Milliseconds after a load within which an ordinary request must be answered, and between two tries. */
const RECOVERY_MS = 10_000
const RETRY_MS = 100

/** Where callers send their bytes. */
const PLACES = { 'a path with a route': '/lookup/large', 'a path without a route': '/nowhere', 'the readiness address': '/v1/ready' } as const

// Fails when what a caller sends or leaves unread makes the process hold memory or descriptors without bound.
describe('a gateway with callers outside the limits', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    const { fixture } = harness
    await fixture.start()
    fixture.maxBodyBytes = BODY_BYTES
    fixture.configure({}, [], { limits: { maxHeaderBytes: HEAD_BYTES, headerTimeoutMs: 3_000 } })
    for (const desk of fixture.desks) {
      desk.responders.set('/lookup/large', (run, res) => { res.writeHead(200, { 'x-request-id': run.id, 'x-response-signature': 's' }).end(RESPONSE) })
    }
    await harness.startGateway({ heapMb: HEAP_MB, maxFds: MAX_FDS })
  })

  afterEach(async () => { await harness.stop() })

  for (const load of OUTSIDE_LOADS) {
    for (const [place, path] of Object.entries(PLACES)) {
      it(`should live, stay within its memory and descriptors, and serve others: ${load.name}, at ${place}`, async () => {
        const { gateway } = harness
        const address = path === PLACES['the readiness address'] ? gateway.readinessAddress : gateway.callerAddress
        const use = await runLoad(load, { pid: gateway.pid, address, path, connections: CONNECTIONS })
        const isAnswered = !gateway.hasExited() && await isOrdinaryRequestAnswered()
        const context = `${Math.round(use.residentBytes / 1e6)} MB, ${use.descriptors} descriptors`
        const lives = !gateway.hasExited()
        const isWithinMemory = use.residentBytes < MAX_RESIDENT_BYTES
        const isWithinDescriptors = use.descriptors < MAX_DESCRIPTORS
        expect({ context, lives, isWithinMemory, isWithinDescriptors, isAnswered }).toEqual({
          context, lives: true, isWithinMemory: true, isWithinDescriptors: true, isAnswered: true
        })
      })
    }
  }

  async function isOrdinaryRequestAnswered (): Promise<boolean> {
    const deadline = Date.now() + RECOVERY_MS
    for (let at = 0; Date.now() < deadline; at++) {
      const { status } = await harness.call({ id: `ordinary${at}`, path: '/lookup/x', method: 'POST', body: 'x'.repeat(1_024) })
      if (status === 200 && await harness.gateway.getReadiness() === 200) return true
      await new Promise(resolve => { setTimeout(resolve, RETRY_MS) })
    }
    return false
  }
})
