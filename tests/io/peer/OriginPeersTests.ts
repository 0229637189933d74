import { expect } from 'earl'
import type { StreamOrigin } from '../../../src/core/origin/index.js'
import type { Peer } from '../../../src/core/peer/index.js'
import { MAX_STREAMS_PER_CALL, OriginPeers, type PeerPool } from '../../../src/io/peer/index.js'

const ORIGIN: StreamOrigin = { service: 'model', softwareVersion: 'v1' }
const PEERS: Peer[] = ['a', 'b', 'c'].map(id => ({ id, address: `${id}:1`, failureDomain: 'here' }))

describe('OriginPeers', () => {
  /** Streams that each peer remembers; a peer that is not listed does not respond. */
  let remembered: Record<string, readonly string[]>
  let calls: string[]

  beforeEach(() => {
    remembered = { a: [], b: ['r-1', 'r-2'], c: [] }
    calls = []
  })

  it('should get the origin from the peer that remembers the stream', async () => {
    expect(await createPeers().fetch('r-1')).toEqual(ORIGIN)
    expect(await createPeers().fetch('r-9')).toEqual(undefined)
  })

  it('should get the origin although another peer does not respond', async () => {
    remembered = { b: ['r-1'] }
    expect(await createPeers().fetch('r-1')).toEqual(ORIGIN)
  })

  // Callers whose gateway was killed return together; a call to each peer for each stream took longer than its time-out.
  it('should ask each peer once for all streams whose callers return together', async () => {
    const streams = Array.from({ length: MAX_STREAMS_PER_CALL }, (_, at) => `r-${at}`)
    const peers = createPeers()
    const found = await Promise.all(streams.map(async stream => await peers.fetch(stream)))
    expect(found.filter(origin => origin !== undefined).length).toEqual(2)
    expect(calls.sort()).toEqual(['a', 'b', 'c'])
  })

  it('should divide more streams than one call may have', async () => {
    const streams = Array.from({ length: MAX_STREAMS_PER_CALL + 1 }, (_, at) => `r-${at}`)
    const peers = createPeers()
    await Promise.all(streams.map(async stream => await peers.fetch(stream)))
    expect(calls.length).toEqual(2 * PEERS.length)
  })

  it('should ask once for a stream whose caller sends two tries', async () => {
    const peers = createPeers()
    expect(await Promise.all([peers.fetch('r-1'), peers.fetch('r-1')])).toEqual([ORIGIN, ORIGIN])
    expect(calls.length).toEqual(PEERS.length)
  })

  function createPeers (): OriginPeers {
    const call = (async (id, _options, send) => {
      calls.push(id)
      const getOrigin = (stream: string): StreamOrigin | null => remembered[id]!.includes(stream) ? ORIGIN : null
      const getOrigins = { mutate: async ({ streams }: { streams: string[] }) => streams.map(getOrigin) }
      if (remembered[id] === undefined) return undefined
      return await send({ getOrigins } as never, { signal: new AbortController().signal })
    }) as PeerPool['call']
    return new OriginPeers({ pool: { call }, ranking: { getCandidates: () => PEERS }, clock: { now: () => 0 } })
  }
})
