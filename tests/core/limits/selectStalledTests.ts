import { expect } from 'earl'
import { getProcessLimits, isProgressing, MIN_STALL_MS, REQUEST_COST_BYTES, selectStalled } from '../../../src/core/limits/index.js'

describe('selectStalled', () => {
  it('should select those that hold most for longest, and no more than needed', () => {
    const uses = [
      { id: 'small', heldBytes: 1_000, stalledMs: 2_000 },
      { id: 'large', heldBytes: 4_000_000, stalledMs: 2_000 },
      { id: 'longer', heldBytes: 4_000_000, stalledMs: 3_000 },
      { id: 'moving', heldBytes: 9_000_000, stalledMs: MIN_STALL_MS - 1 }
    ]
    expect(selectStalled(uses, 4_000_001).map(({ id }) => id)).toEqual(['longer', 'large'])
    expect(selectStalled(uses, 0)).toEqual([])
  })

  it('should count as progress what moves a body within the time for bodies', () => {
    expect([70_000, 60_000].map(bytes => isProgressing(bytes, 4_194_304, 500))).toEqual([true, false])
    expect([1_024, 1_023].map(bytes => isProgressing(bytes, 0, 500))).toEqual([true, false])
  })
})

describe('getProcessLimits', () => {
  it('should derive the bounds of the smallest machine', () => {
    const limits = getProcessLimits({ memoryMb: 178, heapBytes: 176_160_768, maxFds: 4_100 })
    expect(limits).toEqual({
      heldBytes: 35_232_153,
      heldBytesPerAddress: 31_708_937,
      connections: 1_845,
      connectionsPerAddress: 1_660,
      refusedConnections: 82,
      requests: 1_230,
      peerConnections: 492,
      statusConnections: 64
    })
  })

  // With many descriptors and a small heap, requests in progress alone took more than the heap.
  it('should derive from the heap how many requests may be in progress', () => {
    const getRequests = (heapBytes: number): number => getProcessLimits({ memoryMb: undefined, heapBytes, maxFds: 100_000 }).requests
    expect(getRequests(120_000_000) * REQUEST_COST_BYTES <= 30_000_000).toEqual(true)
    expect(getRequests(240_000_000)).toEqual(1_831)
  })

  it('should leave descriptors for the store and files when all connections are in use', () => {
    for (const maxFds of [400, 1_024, 4_100, 8_200]) {
      const limits = getProcessLimits({ memoryMb: undefined, heapBytes: 1e8, maxFds })
      const ofCallers = limits.connections + limits.refusedConnections + limits.requests
      expect(ofCallers + limits.peerConnections + 2 * limits.statusConnections < maxFds * 0.96).toEqual(true)
    }
  })
})
