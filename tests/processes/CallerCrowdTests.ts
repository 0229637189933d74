import { expect } from 'earl'
import { GatewayHarness } from './GatewayHarness.js'
import { BODY_BYTES, CROWD_LOADS, HEAD_BYTES, REQUESTS_LOAD, runLoad, type OutsideLoad } from './OutsideCallers.js'
import { MEMORY_BYTES } from './ProcessUsage.js'

/** Number of connections of a load; loads of more connections than descriptors open 16 times as many. */
const CONNECTIONS = 300

/** Heap of the process, the bound of its resident memory, and the descriptors that it may open: those of a machine of the sites. */
const HEAP_MB = 120
const MAX_FDS = 4_100

/** Largest number of descriptors that it opens. */
const MAX_DESCRIPTORS = 3_700

/** Bytes of the response that callers do not read. */
const RESPONSE = Buffer.alloc(2_097_152, 'x')

/** Milliseconds after a load within which an ordinary request must be answered, and between two tries. */
const RECOVERY_MS = 10_000
const RETRY_MS = 100

// Fails when what connections cost beside their bytes, which grows with their number, exceeds the memory of the smallest machine.
describe('a gateway of the smallest machine with very many callers outside the limits', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    const { fixture } = harness
    await fixture.start()
    fixture.maxBodyBytes = BODY_BYTES
    fixture.configure({}, [], { limits: { maxHeaderBytes: HEAD_BYTES, headerTimeoutMs: 3_000 } })
    for (const desk of fixture.desks) {
      desk.responders.set('/lookup/large', (run, res) => { res.writeHead(200, { 'x-request-id': run.id, 'x-response-signature': 's' }).end(RESPONSE) })
      desk.responders.set('/lookup/silent', () => {})
    }
    await harness.startGateway({ heapMb: HEAP_MB, maxFds: MAX_FDS })
  })

  afterEach(async () => { await harness.stop() })

  for (const load of CROWD_LOADS) itShouldEndure(load, '/lookup/large')
  itShouldEndure(REQUESTS_LOAD, '/lookup/silent')
  itShouldEndure({ ...REQUESTS_LOAD, name: 'more connections than descriptors, each with a response that stays unread', reads: false }, '/lookup/large')

  function itShouldEndure (load: OutsideLoad, path: string): void {
    it(`should live, stay within its memory and descriptors, and serve others: ${load.name}, to ${path}`, async () => {
      const { gateway } = harness
      const use = await runLoad(load, { pid: gateway.pid, address: gateway.callerAddress, path, connections: CONNECTIONS })
      const isAnswered = !gateway.hasExited() && await isOrdinaryRequestAnswered()
      const context = `${Math.round(use.residentBytes / 1e6)} MB, ${use.descriptors} descriptors`
      const lives = !gateway.hasExited()
      const isWithinMemory = use.residentBytes < MEMORY_BYTES
      const isWithinDescriptors = use.descriptors < MAX_DESCRIPTORS
      expect({ context, lives, isWithinMemory, isWithinDescriptors, isAnswered }).toEqual({
        context, lives: true, isWithinMemory: true, isWithinDescriptors: true, isAnswered: true
      })
    })
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
