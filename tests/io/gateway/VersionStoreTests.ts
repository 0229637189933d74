import { expect } from 'earl'
import { RETIRE_MS, toVersionRow, VERSION_TABLE } from '../../../src/core/origin/index.js'
import { StoreError, StoreFailure } from '../../../src/core/platform/index.js'
import type { Target } from '../../../src/core/target/index.js'
import { StoreAccess, VersionStore } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'
import { waitFor } from '../../processes/GatewayHarness.js'

const V1 = { service: 'model', softwareVersion: 'v1' }

describe('VersionStore', () => {
  let rows: MemoryRowStore
  let skippedMs: number
  const clock = { now: () => performance.now() + skippedMs }

  beforeEach(() => {
    rows = new MemoryRowStore()
    skippedMs = 0
  })

  it('should find the only version of a service, also at a gateway that has just started', async () => {
    createStore().setTargets([createTarget('v1')])
    await waitForRows(1)
    expect((await find(createStore())).extract()).toEqual(V1)
  })

  it('should not guess while two versions serve, and for the retirement time after one has left', async () => {
    const store = createStore()
    store.setTargets([createTarget('v1'), createTarget('v2')])
    await waitForRows(2)
    expect((await find(store)).extract()).toEqual('origin-unknown')
    store.setTargets([createTarget('v1')])
    await store.update()
    expect((await find(store)).extract()).toEqual('origin-unknown')
    skippedMs = RETIRE_MS
    await store.update()
    expect((await find(store)).extract()).toEqual(V1)
  })

  for (const others of [99, 100]) {
    // With more rows than a call of the store may write, none was ever written.
    it(`should store a version beside ${others} of another writer`, async () => {
      const commit = rows.commit.bind(rows)
      rows.commit = async (transaction, options) => {
        if ((transaction.puts ?? []).length > 100) throw new StoreError(StoreFailure.Refused, 'too many rows')
        return await commit(transaction, options)
      }
      const store = createStore()
      store.setTargets([createTarget('v1'), ...Array.from({ length: others }, (_, at) => createTarget(`odd-${at}`))])
      await waitFor(() => store.isStored(V1))
    })
  }

  it('should not remove the row of a version that another gateway has seen again', async () => {
    const store = createStore()
    store.setTargets([createTarget('v1')])
    await waitForRows(1)
    store.setTargets([])
    await store.update()
    skippedMs = RETIRE_MS
    const { read } = rows
    rows.read = async (...args) => {
      const snapshot = await read.apply(rows, args)
      rows.apply({ puts: [toVersionRow(V1)] })
      return snapshot
    }
    await store.update()
    expect(rows.getTableSize(VERSION_TABLE)).toEqual(1)
  })

  it('should write a version after an outage of the store', async () => {
    const store = createStore()
    rows.failure = 'refused'
    store.setTargets([createTarget('v1')])
    await waitFor(() => rows.calls.commit > 1)
    rows.failure = undefined
    await waitForRows(1)
  })

  it('should count a version as stored only after its row was written', async () => {
    const store = createStore()
    rows.readOnlyTables.add(VERSION_TABLE)
    store.setTargets([createTarget('v1')])
    await waitFor(() => rows.calls.commit > 1)
    expect(store.isStored(V1)).toEqual(false)
    rows.readOnlyTables.clear()
    await waitFor(() => store.isStored(V1))
    expect(rows.getTableSize(VERSION_TABLE)).toEqual(1)
  })

  it('should write the row of a version that serves again after another gateway removed it', async () => {
    const store = createStore()
    store.setTargets([createTarget('v1')])
    await waitFor(() => store.isStored(V1))
    rows.apply({ removes: [toVersionRow(V1)] })
    await store.update()
    expect([rows.getTableSize(VERSION_TABLE), store.isStored(V1)]).toEqual([1, true])
  })

  // A gateway that had stood still removed, by its old list, the row of a version that had begun to serve meanwhile.
  it('should not remove a row before the list of targets is confirmed', async () => {
    const other = createStore()
    other.setTargets([createTarget('v1')])
    await waitForRows(1)
    let isConfirmed = true
    const store = createStore(async () => isConfirmed)
    await store.update()
    skippedMs = RETIRE_MS
    isConfirmed = false
    await store.update()
    expect(rows.getTableSize(VERSION_TABLE)).toEqual(1)
    isConfirmed = true
    await store.update()
    expect(rows.getTableSize(VERSION_TABLE)).toEqual(0)
  })

  it('should tell an outage from a stream that cannot go on', async () => {
    rows.failure = 'refused'
    expect((await find(createStore())).extract()).toEqual('origin-unreadable')
  })

  function createStore (confirmList?: () => Promise<boolean>): VersionStore {
    const log = new DecisionLog({ process: 'test', id: 'test', isSilent: true })
    const access = new StoreAccess({ store: rows, clock, log, onRetry: () => {}, onUnavailable: () => {}, onAvailable: () => {} })
    return new VersionStore({ access, clock, log, ...(confirmList === undefined ? {} : { confirmList }) })
  }

  function createTarget (softwareVersion: string): Target {
    return {
      id: `t-${softwareVersion}`, bornAt: 1, service: 'model', softwareVersion, address: '127.0.0.1:1', failureDomain: 'a', isLeaving: false, slots: 1
    }
  }

  async function find (store: VersionStore) {
    return await store.findOnly('model', clock.now() + 300)
  }

  async function waitForRows (count: number): Promise<void> {
    await waitFor(() => rows.getTableSize(VERSION_TABLE) === count)
  }
})
