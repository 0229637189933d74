import { expect } from 'earl'
import { decodeBudgetRow, getBudgetKey, getTotalGranted } from '../../../src/core/budget/index.js'
import { BudgetStore, Reservation, StoreAccess } from '../../../src/io/gateway/index.js'
import { DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const LIMIT = 540
const TURN = 135

describe('BudgetStore', () => {
  let rows: MemoryRowStore
  beforeEach(() => { rows = new MemoryRowStore() })

  it('should never hand out more than the budget, whichever gateways the turns come through', async () => {
    const gateways = ['a', 'b', 'c'].map(holder => createStore(rows, holder))
    let granted = 0
    for (let turn = 0; turn < 12; turn++) {
      const result = await reserve(gateways[turn % 3]!)
      if (result === Reservation.Granted) granted += TURN
      else expect(result).toEqual(Reservation.Spent)
    }
    expect(granted <= LIMIT).toEqual(true)
    expect(granted > LIMIT / 2).toEqual(true)
  })

  it('should hand out no more to turns that come at the same moment', async () => {
    const gateways = ['a', 'b'].map(holder => createStore(rows, holder))
    const results = await Promise.all(Array.from({ length: 12 }, async (_, at) => await reserve(gateways[at % 2]!)))
    expect(results.filter(result => result === Reservation.Granted).length * TURN <= LIMIT).toEqual(true)
  })

  it('should find its own grant again when the answer of the store was lost', async () => {
    const gateway = createStore(rows, 'a')
    rows.failure = 'answer-lost'
    const reservation = reserve(gateway, 50)
    await reservation
    rows.failure = undefined
    expect(await reserve(gateway)).toEqual(Reservation.Granted)
    const row = decodeBudgetRow(rows.getRow(getBudgetKey('program'))!)
    // Two turns are under way; a grant that was forgotten would make it three.
    expect(getTotalGranted(row)).toEqual(2 * TURN)
  })

  it('should spend what it was granted while the store is away, and say that it cannot tell beyond', async () => {
    const gateway = createStore(rows, 'a')
    expect(await reserve(gateway)).toEqual(Reservation.Granted)
    gateway.settle('program', TURN, 0)
    rows.failure = 'refused'
    expect(await reserve(gateway)).toEqual(Reservation.Granted)
    expect(await reserve(gateway)).toEqual(Reservation.Unreadable)
  })

  it('should refuse a spent budget without asking the store again', async () => {
    const gateway = createStore(rows, 'a')
    while (await reserve(gateway) === Reservation.Granted);
    const before = rows.calls.read + rows.calls.commit
    expect(await reserve(gateway)).toEqual(Reservation.Spent)
    expect(rows.calls.read + rows.calls.commit).toEqual(before)
  })
})

const clock = new SteadyClock()

function createStore (rows: MemoryRowStore, holder: string): BudgetStore {
  const log = new DecisionLog({ process: 'test', id: holder, isSilent: true })
  const access = new StoreAccess({ store: rows, clock, log, onRetry: () => {}, onAway: () => {}, onBack: () => {} })
  return new BudgetStore({ access, clock, log, holder })
}

async function reserve (store: BudgetStore, waitMs = 300): Promise<Reservation> {
  return await store.reserve({ program: 'program', limit: LIMIT, tokens: TURN, chooseTarget: () => undefined, deadline: clock.now() + waitMs })
}
