import { expect } from 'earl'
import { EXPIRY_MARGIN_MS } from '../../../src/core/platform/index.js'
import { getOriginKey, ORIGIN_PARTITIONS, type StreamOrigin } from '../../../src/core/origin/index.js'
import { OriginStore, StoreAccess, type OriginSource } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const ORIGIN: StreamOrigin = { service: 'model', softwareVersion: 'v1' }
const RETENTION_MS = 10_000
const NOBODY = { fetch: async () => undefined }

describe('OriginStore', () => {
  let rows: MemoryRowStore
  let skippedMs: number
  let sources: OriginSource[]
  let delays: number[]
  /** Delays with which transactions were scheduled, in milliseconds. */
  let scheduled: number[]
  /** Time at which the clock stands still; undefined while it runs. */
  let frozenAt: number | undefined
  const clock = { now: () => (frozenAt ?? performance.now()) + skippedMs }

  beforeEach(() => {
    rows = new MemoryRowStore()
    skippedMs = 0
    frozenAt = undefined
    sources = []
    delays = []
    scheduled = []
  })

  it('should find a stream that another gateway began in the store', async () => {
    await record(createStore(), 'r')
    expect((await find(createStore(), 'r')).extract()).toEqual(ORIGIN)
    expect([rows.calls.commit, rows.calls.read, ...sources]).toEqual([1, 1, 'row'])
  })

  it('should find a stream that it began itself, or has found before, without a call', async () => {
    const first = createStore()
    await record(first, 'r')
    const second = createStore()
    await find(second, 'r')
    const reads = rows.calls.read
    expect((await find(first, 'r')).extract()).toEqual(ORIGIN)
    expect((await find(second, 'r')).extract()).toEqual(ORIGIN)
    expect([rows.calls.read, ...sources]).toEqual([reads, 'row', 'memory', 'memory'])
  })

  it('should write the rows of streams that begin during a call together', async () => {
    frozenAt = performance.now()
    const store = createStore()
    for (let at = 0; at < 50; at++) store.record(`r-${at}`, ORIGIN, RETENTION_MS)
    await waitFor(() => rows.getTableSize('stream-origins') === 50)
    expect(rows.calls.commit <= 2 * ORIGIN_PARTITIONS).toEqual(true)
    expect(scheduled.every(delayMs => delayMs === 0)).toEqual(true)
  })

  it('should report how long the row of a stream took, with the time for which the store was away', async () => {
    const store = createStore()
    rows.failure = 'refused'
    store.record('r', ORIGIN, RETENTION_MS)
    await settle()
    expect(delays).toEqual([])
    rows.failure = undefined
    await waitFor(() => delays.length > 0)
    expect(delays[0]! >= 50).toEqual(true)
  })

  it('should ask other gateways while the store is away', async () => {
    const first = createStore()
    await record(first, 'r')
    rows.failure = 'refused'
    const second = createStore({ fetch: async stream => first.getRemembered(stream) })
    expect((await find(second, 'r')).extract()).toEqual(ORIGIN)
  })

  it('should ask other gateways when the partition of a stream does not respond', async () => {
    const first = createStore()
    await record(first, 'r')
    rows.failedPartitions.set(getOriginKey('r').part, 'silent')
    const second = createStore({ fetch: async stream => first.getRemembered(stream) })
    expect((await find(second, 'r')).extract()).toEqual(ORIGIN)
  })

  it('should not guess an origin that neither the store nor a gateway knows', async () => {
    expect((await find(createStore(), 'r')).extract()).toEqual('origin-unknown')
    rows.failure = 'refused'
    expect((await find(createStore(), 'r')).extract()).toEqual('origin-unreadable')
  })

  it('should write the row of a stream after a response of the store was lost', async () => {
    rows.failure = 'answer-lost'
    const store = createStore()
    store.record('r', ORIGIN, RETENTION_MS)
    await settle()
    rows.failure = undefined
    expect((await find(createStore(), 'r')).extract()).toEqual(ORIGIN)
  })

  it('should remove the rows of streams that their callers can no longer continue', async () => {
    const store = createStore()
    await record(store, 'r')
    skippedMs = RETENTION_MS + EXPIRY_MARGIN_MS
    await store.removeExpired()
    expect(rows.getTableSize('stream-origins')).toEqual(0)
  })

  function createStore (peers: { fetch: (stream: string) => Promise<StreamOrigin | undefined> } = NOBODY): OriginStore {
    const log = new DecisionLog({ process: 'test', id: 'test', isSilent: true })
    // A store that a test has left behind must not report to the next one.
    const [testSources, testDelays, testScheduled] = [sources, delays, scheduled]
    const access = new StoreAccess({ store: rows, clock, log, onRetry: () => {}, onUnavailable: () => {}, onAvailable: () => {} })
    return new OriginStore({
      access,
      clock,
      log,
      peers,
      writesPerSecond: 1_000,
      onLookup: source => { testSources.push(source) },
      onWritten: delayMs => { testDelays.push(delayMs) },
      schedule: (run, delayMs) => {
        testScheduled.push(delayMs)
        return setTimeout(run, delayMs)
      }
    })
  }

  async function record (store: OriginStore, stream: string): Promise<void> {
    const written = delays.length
    store.record(stream, ORIGIN, RETENTION_MS)
    await waitFor(() => delays.length > written)
  }

  async function find (store: OriginStore, stream: string) {
    return await store.find(stream, RETENTION_MS, clock.now() + 600)
  }
})

async function waitFor (isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise(resolve => { setTimeout(resolve, 1) })
}

/** Gives a store in memory the time for calls that fail. */
async function settle (): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, 50) })
}
