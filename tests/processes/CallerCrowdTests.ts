import { CROWD_LOADS, REQUESTS_LOAD, type OutsideLoad } from './OutsideCallers.js'
import { OutsideLoadHarness } from './OutsideLoadHarness.js'
import { MEMORY_BYTES } from './ProcessUsage.js'

/** Number of connections of a load; loads of more connections than descriptors open 16 times as many. */
const CONNECTIONS = 300

/** Heap of the process, the bound of its resident memory, and the descriptors that it may open: those of a machine of the sites. */
const HEAP_MB = 120
const MAX_FDS = 4_100

/** Largest number of descriptors that it opens. */
const MAX_DESCRIPTORS = 3_700

// Fails when what connections cost beside their bytes, which grows with their number, exceeds the memory of the smallest machine.
describe('a gateway of the smallest machine with very many callers outside the limits', () => {
  let outside: OutsideLoadHarness

  beforeEach(async () => {
    outside = new OutsideLoadHarness()
    await outside.start({ heapMb: HEAP_MB, maxFds: MAX_FDS })
  })

  afterEach(async () => { await outside.harness.stop() })

  for (const load of CROWD_LOADS) itShouldEndure(load, '/lookup/large')
  itShouldEndure(REQUESTS_LOAD, '/lookup/silent')
  itShouldEndure({ ...REQUESTS_LOAD, name: 'more connections than descriptors, each with a response that stays unread', reads: false }, '/lookup/large')

  function itShouldEndure (load: OutsideLoad, path: string): void {
    it(`should live, stay within its memory and descriptors, and serve others: ${load.name}, to ${path}`, async () => {
      const { callerAddress: address } = outside.harness.gateway
      const bounds = { maxResidentBytes: MEMORY_BYTES, maxDescriptors: MAX_DESCRIPTORS }
      await outside.checkEndures({ load, address, path, connections: CONNECTIONS, ...bounds })
    })
  }
})
