import { expect } from 'earl'
import { getTurnPartitions, PARTITIONS_PER_TURN } from '../../../src/core/turn/index.js'
import { StoreAccess, TurnStore, type TurnStoreOptions } from '../../../src/io/gateway/index.js'
import { DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const TRANSCRIPT = Buffer.from('input and output')
const RETENTION_MS = 60_000
const [FIRST, SECOND] = getTurnPartitions('t1')

describe('TurnStore', () => {
  let rows: MemoryRowStore
  beforeEach(() => { rows = new MemoryRowStore() })

  it('should save and load a turn with one call each while all partitions are available', async () => {
    await save(createStore(rows))
    expect(await load(createStore(rows))).toEqual(TRANSCRIPT)
    expect([rows.calls.commit, rows.calls.read]).toEqual([1, 1])
  })

  // Without another partition, turns of an unavailable partition could not be saved and their streams would not end in time.
  it('should save a turn in another partition while its own is unavailable, and load it during and after the outage', async () => {
    rows.failedPartitions.set(FIRST!, 'refused')
    expect(await save(createStore(rows))).toEqual(true)
    expect(await load(createStore(rows))).toEqual(TRANSCRIPT)
    rows.failedPartitions.clear()
    expect(await load(createStore(rows))).toEqual(TRANSCRIPT)
  })

  it('should not wait for a partition that does not respond', async () => {
    rows.failedPartitions.set(FIRST!, 'silent')
    const startedAt = clock.now()
    expect(await save(createStore(rows))).toEqual(true)
    // Half of the time-out of one call.
    expect(clock.now() - startedAt < 350).toEqual(true)
  })

  // Callers retry at another gateway, which has not cached the turn that the request continues from.
  it('should get a turn from the memory of another gateway while the store is unavailable', async () => {
    const first = createStore(rows)
    await save(first)
    rows.failure = 'refused'
    const second = createStore(rows, { fetch: async id => first.getCached(id) })
    expect(await load(second)).toEqual(TRANSCRIPT)
    expect(second.getCached('t1')).toEqual(TRANSCRIPT)
  })

  it('should not ask other gateways for a turn that the store can read', async () => {
    await save(createStore(rows))
    expect(await load(createStore(rows, { fetch: async () => { throw new Error('asked') } }))).toEqual(TRANSCRIPT)
  })

  it('should call a partition that failed recently after the others', async () => {
    const store = createStore(rows)
    rows.failedPartitions.set(FIRST!, 'refused')
    await save(store)
    const before = rows.calls.commit
    await save(store)
    expect(rows.calls.commit - before).toEqual(1)
  })

  it('should report a turn as unknown only when no partition has it and all have responded', async () => {
    expect(await load(createStore(rows))).toEqual('turn-unknown')
    expect(rows.calls.read).toEqual(PARTITIONS_PER_TURN)
    rows.failedPartitions.set(SECOND!, 'refused')
    expect(await load(createStore(rows))).toEqual('turn-unreadable')
  })

  it('should load a turn from a partition that is available again before the deadline', async () => {
    await save(createStore(rows))
    rows.failedPartitions.set(FIRST!, 'refused')
    const loading = load(createStore(rows))
    rows.failedPartitions.clear()
    expect(await loading).toEqual(TRANSCRIPT)
  })
})

describe('turns that exceed one call of the store', () => {
  const transcript = Buffer.alloc(1_500_000, 'x')

  it('should be saved in several transactions and loaded whole', async () => {
    const rows = new MemoryRowStore()
    expect(await createStore(rows, undefined, 49_152).save('t1', [transcript], RETENTION_MS, clock.now() + 1_000)).toEqual(true)
    expect([rows.calls.commit, await load(createStore(rows, undefined, 49_152))]).toEqual([3, transcript])
  })

  it('should be unknown while a transaction of them is missing', async () => {
    const rows = new MemoryRowStore()
    const commit = rows.commit.bind(rows)
    rows.commit = async (...args) => {
      const result = await commit(...args)
      if (rows.calls.commit === 2) rows.failure = 'refused'
      return result
    }
    expect(await createStore(rows, undefined, 49_152).save('t1', [transcript], RETENTION_MS, clock.now() + 100)).toEqual(false)
    rows.failure = undefined
    expect(await load(createStore(rows, undefined, 49_152))).toEqual('turn-unknown')
  })

  it('should not make the store count as unavailable when it rejects a call', async () => {
    const rows = new MemoryRowStore()
    rows.failure = 'rejected'
    const access = createAccess(rows)
    for (let at = 0; at < 10; at++) await createStore(rows, undefined, 1_000, access).save(`t${at}`, [TRANSCRIPT], RETENTION_MS, clock.now() + 1_000)
    expect(access.health.isUnavailable()).toEqual(false)
  })
})

const clock = new SteadyClock()
const log = new DecisionLog({ process: 'test', id: 'a', isSilent: true })

function createAccess (rows: MemoryRowStore): StoreAccess {
  return new StoreAccess({ store: rows, clock, log, onRetry: () => {}, onUnavailable: () => {}, onAvailable: () => {} })
}

function createStore (
  rows: MemoryRowStore, peers: TurnStoreOptions['peers'] = { fetch: async () => undefined }, rowBytes = 1_000, access = createAccess(rows)
): TurnStore {
  return new TurnStore({ access, clock, log, peers, rowBytes })
}

async function save (store: TurnStore): Promise<boolean> {
  return await store.save('t1', [TRANSCRIPT], RETENTION_MS, clock.now() + 1_000)
}

async function load (store: TurnStore): Promise<Buffer | string> {
  const loaded = await store.load('t1', clock.now() + 400)
  return loaded.caseOf<Buffer | string>({ Left: reason => reason, Right: transcript => transcript })
}
