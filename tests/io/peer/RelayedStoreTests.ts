import { createServer, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'earl'
import { PeerRanking, type Peer } from '../../../src/core/peer/index.js'
import { ReserveLedger } from '../../../src/core/reserve/index.js'
import { PeerServer, RelayedStore } from '../../../src/io/peer/index.js'
import { DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const PUT = { puts: [{ table: 't', part: '', key: 'k', value: Buffer.from('v') }] }
const CALL_OPTIONS = { timeoutMs: 500 }

describe('RelayedStore', () => {
  let directStore: MemoryRowStore
  let peerStore: MemoryRowStore
  let server: PeerServer
  let store: RelayedStore
  let isPeerUnavailable: boolean

  beforeEach(async () => {
    directStore = new MemoryRowStore()
    peerStore = new MemoryRowStore()
    isPeerUnavailable = false
    const reserves = new ReserveLedger({ clock: new SteadyClock(), incarnation: 'run-1' })
    server = new PeerServer({
      direct: peerStore,
      isDirectUnavailable: () => isPeerUnavailable,
      reserves,
      permits: { lend: () => ({ type: 'refused', waitMs: 0 }) },
      quotas: { lend: () => ({ type: 'not-holder' }) },
      limits: { receiveReport: () => {}, receiveNotice: () => false },
      leaving: { receiveReport: () => {}, receiveNotice: () => false },
      failures: { receiveReport: () => {}, receiveNotice: () => false },
      returnUnused: async () => {},
      getCachedTurn: () => undefined,
      getOrigin: () => undefined
    })
    const address = await server.listen('127.0.0.1:0')
    store = createStore([
      // Nothing listens on the discard port; the search must continue with the next peer.
      { id: 'gone', address: '127.0.0.1:9', failureDomain: 'here' },
      { id: 'alive', address, failureDomain: 'far' }
    ])
  })

  const createStore = (peers: Peer[]): RelayedStore => {
    const ranking = new PeerRanking({ localId: 'own', localDomain: 'here', regions: { here: 'home', far: 'away' }, random: () => 0 })
    ranking.setPeers(peers)
    const log = new DecisionLog({ process: 'test', id: 'own', isSilent: true })
    return new RelayedStore({ direct: directStore, ranking, clock: new SteadyClock(), log, onRelayed: () => {} })
  }

  afterEach(async () => {
    // A store without a direct connection probes for as long as the process runs.
    directStore.failure = undefined
    await retryUntilDone(async () => { if (store.isDirectUnavailable()) throw new Error('still unavailable') })
    server.close()
  })

  it('should call the store directly while the direct connection is available', async () => {
    await store.commit(PUT, CALL_OPTIONS)
    expect(directStore.calls.commit).toEqual(1)
  })

  it('should call through a peer during an outage of the direct connection, and directly after it', async () => {
    directStore.failure = 'refused'
    await failPartitions(store)
    await retryUntilDone(async () => { await store.commit(PUT, CALL_OPTIONS) })
    expect(peerStore.getRow({ table: 't', part: '', key: 'k' })?.value).toEqual(Buffer.from('v'))
    expect((await store.read({ table: 't', part: '' }, CALL_OPTIONS)).rows.map(row => row.key)).toEqual(['k'])
    directStore.failure = undefined
    await retryUntilDone(async () => { if (store.isDirectUnavailable()) throw new Error('still unavailable') })
    await store.commit(PUT, CALL_OPTIONS)
    expect(directStore.getRow({ table: 't', part: '', key: 'k' }) === undefined).toEqual(false)
  })

  // In an outage that affects all gateways, the calls of waiting turns must not become load on the peers.
  it('should not relay calls through peers whose connection is unavailable as well', async () => {
    isPeerUnavailable = true
    directStore.failure = 'refused'
    await failPartitions(store)
    for (let index = 0; index < 50; index++) await store.commit(PUT, CALL_OPTIONS).catch(() => {})
    expect(store.isDirectUnavailable()).toEqual(true)
    expect(peerStore.calls.commit).toEqual(0)
  })

  // An outage may end for all partitions but one.
  it('should detect that the direct connection is available again while some partitions remain unavailable', async () => {
    directStore.failure = 'refused'
    await failPartitions(store)
    directStore.failedPartitions.set('', 'refused')
    directStore.failure = undefined
    await retryUntilDone(async () => { if (store.isDirectUnavailable()) throw new Error('still unavailable') })
    directStore.failedPartitions.clear()
  })

  it('should detect that the direct connection is available again within two probes while peers do not respond', async () => {
    const sockets: Socket[] = []
    const silent = createServer(socket => { sockets.push(socket.on('error', () => {})) })
    await new Promise<void>(resolve => silent.listen(0, '127.0.0.1', resolve))
    const { port } = silent.address() as AddressInfo
    const isolated = createStore(['a', 'b'].map(id => ({ id, address: `127.0.0.1:${port}`, failureDomain: 'here' })))
    try {
      directStore.failure = 'refused'
      await failPartitions(isolated)
      directStore.failure = undefined
      const before = directStore.calls.read
      await retryUntilDone(async () => { if (isolated.isDirectUnavailable()) throw new Error('still unavailable') })
      expect(directStore.calls.read - before).toEqual(1)
    } finally {
      for (const socket of sockets) socket.destroy()
      silent.close()
    }
  })
})

/** Makes calls to several partitions that fail, as the watches of a gateway do during an outage. */
async function failPartitions (store: RelayedStore): Promise<void> {
  for (const part of ['1', '2', '3']) await store.read({ table: 't', part }, CALL_OPTIONS).catch(() => {})
}

/** Repeats a step until it succeeds. */
async function retryUntilDone (step: () => Promise<void>): Promise<void> {
  // Half of the maximum wait of one search for a peer.
  const deadline = Date.now() + 850
  for (;;) {
    try {
      await step()
      return
    } catch (err) {
      if (Date.now() > deadline) throw err
      await new Promise(resolve => { setTimeout(resolve, 10) })
    }
  }
}
