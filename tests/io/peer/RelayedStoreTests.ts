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
    const reserves = new ReserveLedger({ clock: new SteadyClock() })
    server = new PeerServer({ direct: peerStore, isDirectUnavailable: () => isPeerUnavailable, reserves, returnUnused: async () => {} })
    const port = await server.listen('127.0.0.1', 0)
    store = createStore([
      // Nothing listens at the discard port; a search must get past it.
      { id: 'gone', address: '127.0.0.1:9', failureDomain: 'here' },
      { id: 'alive', address: `127.0.0.1:${port}`, failureDomain: 'far' }
    ])
  })

  const createStore = (peers: Peer[]): RelayedStore => {
    const ranking = new PeerRanking({ localId: 'own', localDomain: 'here', regions: { here: 'home', far: 'away' }, random: () => 0 })
    ranking.setPeers(peers)
    const log = new DecisionLog({ process: 'test', id: 'own', isSilent: true })
    return new RelayedStore({ direct: directStore, ranking, clock: new SteadyClock(), log, onRelayed: () => {} })
  }

  afterEach(async () => {
    // A store that is cut looks for a way for as long as the process runs.
    directStore.failure = undefined
    await retryUntilDone(async () => { if (store.isDirectUnavailable()) throw new Error('still cut') })
    server.close()
  })

  it('should use the own way while that works', async () => {
    await store.commit(PUT, CALL_OPTIONS)
    expect(directStore.calls.commit).toEqual(1)
  })

  it('should go through a peer while the own way is cut, and back', async () => {
    directStore.failure = 'refused'
    await failPartitions(store)
    await retryUntilDone(async () => { await store.commit(PUT, CALL_OPTIONS) })
    expect(peerStore.getRow({ table: 't', part: '', key: 'k' })?.value).toEqual(Buffer.from('v'))
    expect((await store.read({ table: 't', part: '' }, CALL_OPTIONS)).rows.map(row => row.key)).toEqual(['k'])
    directStore.failure = undefined
    await retryUntilDone(async () => { if (store.isDirectUnavailable()) throw new Error('still cut') })
    await store.commit(PUT, CALL_OPTIONS)
    expect(directStore.getRow({ table: 't', part: '', key: 'k' }) === undefined).toEqual(false)
  })

  // The load of an outage for all: held turns are sent nowhere.
  it('should send nothing to peers that are cut as well', async () => {
    isPeerUnavailable = true
    directStore.failure = 'refused'
    await failPartitions(store)
    for (let index = 0; index < 50; index++) await store.commit(PUT, CALL_OPTIONS).catch(() => {})
    expect(store.isDirectUnavailable()).toEqual(true)
    expect(peerStore.calls.commit).toEqual(0)
  })

  // The load of an outage that ends for all parts but one.
  it('should see the own way return although some parts stay away', async () => {
    directStore.failure = 'refused'
    await failPartitions(store)
    directStore.failedParts.set('', 'refused')
    directStore.failure = undefined
    await retryUntilDone(async () => { if (store.isDirectUnavailable()) throw new Error('still cut') })
    directStore.failedParts.clear()
  })

  it('should see the own way return within two looks although peers do not answer', async () => {
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
      await retryUntilDone(async () => { if (isolated.isDirectUnavailable()) throw new Error('still cut') })
      expect(directStore.calls.read - before).toEqual(1)
    } finally {
      for (const socket of sockets) socket.destroy()
      silent.close()
    }
  })
})

/** Calls the store at several parts without an answer, as the watches of a gateway do. */
async function failPartitions (store: RelayedStore): Promise<void> {
  for (const part of ['1', '2', '3']) await store.read({ table: 't', part }, CALL_OPTIONS).catch(() => {})
}

/** Repeats a step until it succeeds. */
async function retryUntilDone (step: () => Promise<void>): Promise<void> {
  // Half of the time for which one search for a peer may wait.
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
