import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { encodeQuotaDebts, getQuotaDebtKey } from '../../../src/core/quota/index.js'
import { QuotaDebtStore } from '../../../src/io/peer/index.js'
import { DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const KEY = getQuotaDebtKey('g1')
const clock = new SteadyClock()

/** Milliseconds after which a condition counts as not met. */
const WAIT_MS = 10_000

describe('QuotaDebtStore', () => {
  let store: MemoryRowStore
  beforeEach(() => { store = new MemoryRowStore() })

  const start = (): QuotaDebtStore => {
    const debtStore = new QuotaDebtStore({
      store,
      clock,
      log: new DecisionLog({ process: 'test', id: 'g1', isSilent: true }),
      gatewayId: 'g1',
      onWrite: () => {}
    })
    void debtStore.run()
    return debtStore
  }
  const until = async (isDone: () => boolean): Promise<void> => {
    const deadline = clock.now() + WAIT_MS
    while (!isDone()) {
      if (clock.now() > deadline) throw new Error(`condition not met within ${WAIT_MS} ms`)
      await sleep(5)
    }
  }

  // Tokens that were lent in advance and are not recorded would be lent again after a restart.
  it('should let a bucket use a debt only once it is recorded, and hand it to the next process', async () => {
    const { debts } = start()
    await until(() => debts.getInherited('shop') !== undefined)
    store.failure = 'refused'
    debts.state('shop', 0, 8, clock.now())
    await sleep(150)
    expect(debts.getRecorded('shop')).toEqual(0)
    store.failure = undefined
    await until(() => debts.getRecorded('shop') === 2)
    const next = start().debts
    await until(() => next.getInherited('shop') !== undefined)
    expect([next.getInherited('shop'), next.getInherited('other')]).toEqual([2, 0])
  })

  // A write of a process that was killed took effect after its successor had read the row.
  it('should leave no room for a late write of the previous process', async () => {
    const { version } = await store.commit({ puts: [{ ...KEY, value: encodeQuotaDebts(new Map([['shop', 4]])) }] }) as { version: number }
    const { debts } = start()
    await until(() => debts.getInherited('shop') !== undefined)
    const late = await store.commit({ conditions: [{ ...KEY, version }], puts: [{ ...KEY, value: encodeQuotaDebts(new Map()) }] })
    expect([debts.getInherited('shop'), late.type]).toEqual([4, 'conflict'])
  })

  // An unreadable row counted as one without debts.
  it('should know no debts after a row that can not be decoded, and record new ones', async () => {
    await store.commit({ puts: [{ ...KEY, value: Buffer.from('{') }] })
    const { debts } = start()
    await until(() => debts.isOpen())
    expect(debts.getInherited('shop')).toEqual(undefined)
    debts.state('shop', 0, 8, clock.now())
    await until(() => debts.getRecorded('shop') === 2)
  })
})
