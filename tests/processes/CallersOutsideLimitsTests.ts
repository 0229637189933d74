import { OUTSIDE_LOADS } from './OutsideCallers.js'
import { OutsideLoadHarness } from './OutsideLoadHarness.js'

/** Number of connections of a load; few, since other tests run on the same machine. */
const CONNECTIONS = 30

/** Heap of the process, and the bound of its resident memory; a machine of the sites has 120 MB and 178 MB. */
const HEAP_MB = 60
const MAX_RESIDENT_BYTES = 140_000_000

/** Descriptors that the process may open, and the bound of what it opens; a machine of the sites has 4,100. */
const MAX_FDS = 400
const MAX_DESCRIPTORS = 360

/** Where callers send their bytes. */
const PLACES = { 'a path with a route': '/lookup/large', 'a path without a route': '/nowhere', 'the readiness address': '/v1/ready' } as const

// Fails when what a caller sends or leaves unread makes the process hold memory or descriptors without bound.
describe('a gateway with callers outside the limits', () => {
  let outside: OutsideLoadHarness

  beforeEach(async () => {
    outside = new OutsideLoadHarness()
    await outside.start({ heapMb: HEAP_MB, maxFds: MAX_FDS })
  })

  afterEach(async () => { await outside.harness.stop() })

  for (const load of OUTSIDE_LOADS) {
    for (const [place, path] of Object.entries(PLACES)) {
      it(`should live, stay within its memory and descriptors, and serve others: ${load.name}, at ${place}`, async () => {
        const { gateway } = outside.harness
        const address = path === PLACES['the readiness address'] ? gateway.readinessAddress : gateway.callerAddress
        const bounds = { maxResidentBytes: MAX_RESIDENT_BYTES, maxDescriptors: MAX_DESCRIPTORS }
        await outside.checkEndures({ load, address, path, connections: CONNECTIONS, ...bounds })
      })
    }
  }
})
