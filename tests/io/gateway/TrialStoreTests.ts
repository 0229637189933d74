import { expect } from 'earl'
import { ManualClock } from '../../../src/core/clock/index.js'
import { StoreTime, type StoredRow } from '../../../src/core/platform/index.js'
import { getSuspectTime, SUSPECT_TABLE, TRIAL_MS, type Trial } from '../../../src/core/suspect/index.js'
import { StoreAccess, TrialStore } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

/** Milliseconds by which the store's clock is ahead of those of the gateways. */
const STORE_AHEAD_MS = 5_000_000

// BUDGET: copies of a request that crashes targets reached one each, at the moment at which its refusal ended.
describe('TrialStore', () => {
  let rows: MemoryRowStore
  let clock: ManualClock
  let first: TrialStore
  let second: TrialStore

  beforeEach(() => {
    rows = new MemoryRowStore()
    clock = new ManualClock(1_000)
    first = createGateway()
    second = createGateway()
  })

  it('should let one of several requests with a digest in common begin, over all gateways', async () => {
    const trials = await Promise.all([first, second, first, second].map(async (gateway, at) => await gateway.begin(['request', 'input'], `r${at}`)))
    expect(trials.filter(trial => trial !== undefined).length).toEqual(1)
    expect(await second.begin(['input'], 'r5')).toEqual(undefined)
    expect(await second.begin(['another'], 'r6')).not.toEqual(undefined)
  })

  it('should let another one begin after the end of a trial, at a gateway that has not heard of it as well', async () => {
    const trial = await begin(first)
    await first.end(trial)
    expect(rows.getTableSize(SUSPECT_TABLE)).toEqual(0)
    await second.end(await begin(second))
    await first.end(await begin(first))
  })

  it('should not end the trial of another request', async () => {
    const over = await begin(first)
    await first.end(over)
    await begin(second)
    await first.end(over)
    expect([rows.getTableSize(SUSPECT_TABLE), await first.begin(['request'], 'r3')]).toEqual([1, undefined])
  })

  it('should let another gateway begin when the time of a trial is over, because its gateway has ended', async () => {
    await begin(first)
    expect(await second.begin(['request'], 'r2')).toEqual(undefined)
    clock.advanceTo(clock.now() + TRIAL_MS - 1)
    expect(await second.begin(['request'], 'r3')).toEqual(undefined)
    clock.advanceTo(clock.now() + 1)
    const trial = await begin(second)
    expect([second.isHeld(trial), await first.begin(['request'], 'r5')]).toEqual([true, undefined])
  })

  it('should begin once when the response of the store is lost', async () => {
    rows.failure = 'answer-lost'
    const trial = first.begin(['request'], 'r1')
    rows.failure = undefined
    expect(await trial).not.toEqual(undefined)
    expect(await second.begin(['request'], 'r2')).toEqual(undefined)
  })

  it('should let none begin while the store is away, and one afterwards', async () => {
    rows.failure = 'refused'
    expect(await first.begin(['request'], 'r1')).toEqual(undefined)
    rows.failure = undefined
    await begin(first)
  })

  it('should leave the removal of its row to a transaction that takes it, once, and take no trial of another gateway', async () => {
    await begin(first)
    await show(second)
    expect(second.take('request')).toEqual([])
    expect(first.take('request').length).toEqual(1)
    expect(first.take('request')).toEqual([])
  })

  it('should learn from the store which trials other gateways have begun and ended', async () => {
    const trial = await begin(first)
    await show(second)
    rows.failure = 'silent'
    expect(await second.begin(['request'], 'r2')).toEqual(undefined)
    expect(rows.calls.commit).toEqual(1)
    rows.failure = undefined
    await first.end(trial)
    await show(second)
    await begin(second)
  })

  function createGateway (): TrialStore {
    const log = new DecisionLog({ process: 'test', id: 'a', isSilent: true })
    const access = new StoreAccess({ store: rows, clock, log, onRetry: () => {}, onUnavailable: () => {}, onAvailable: () => {} })
    const storeTime = new StoreTime()
    storeTime.record(clock.now() + STORE_AHEAD_MS, clock.now())
    const getRowTime = ({ value }: StoredRow): number => storeTime.toLocalTime(getSuspectTime(value)!)!
    return new TrialStore({ access, clock, log, storeTime, getRowTime })
  }

  async function begin (gateway: TrialStore): Promise<Trial> {
    const trial = await gateway.begin(['request'], 'r')
    expect(trial).not.toEqual(undefined)
    return trial!
  }

  /** Shows a gateway all rows of the table. */
  async function show (gateway: TrialStore): Promise<void> {
    const snapshot = await rows.read({ table: SUSPECT_TABLE, part: '' })
    gateway.retainStored(snapshot.rows)
    for (const row of snapshot.rows) gateway.applyRow(row)
  }
})
