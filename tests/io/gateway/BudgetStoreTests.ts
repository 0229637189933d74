import { expect } from 'earl'
import { decodeBudgetRow, getBudgetKey, getGrantableTokens, getTotalGranted } from '../../../src/core/budget/index.js'
import { Clock } from '../../../src/core/clock/index.js'
import type { CallOptions, RowCommit, RowRange, RowSnapshot, RowTransaction } from '../../../src/core/platform/index.js'
import { ReserveLedger } from '../../../src/core/reserve/index.js'
import { BudgetStore, RETURN_AFTER_MS, StoreAccess, type BudgetStoreOptions, type Reservation } from '../../../src/io/gateway/index.js'
import { DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

/** Budget of which the store grants 539 tokens, one less than four turns need; the reserve lends 179. */
const LIMIT = 718
const TURN = 135

describe('BudgetStore', () => {
  let rows: MemoryRowStore
  beforeEach(() => { rows = new MemoryRowStore() })

  it('should never grant more than the budget when turns arrive at several gateways', async () => {
    const gateways = ['a', 'b', 'c'].map(holder => createStore(rows, holder))
    let granted = 0
    for (let turn = 0; turn < 12; turn++) {
      const result = await reserve(gateways[turn % 3]!)
      if (result === 'granted') granted += TURN
      else expect(result).toEqual('spent')
    }
    expect(granted <= getGrantableTokens(LIMIT)).toEqual(true)
    expect(granted > getGrantableTokens(LIMIT) / 2).toEqual(true)
  })

  it('should never grant more than the budget to concurrent turns', async () => {
    const gateways = ['a', 'b'].map(holder => createStore(rows, holder))
    const results = await Promise.all(Array.from({ length: 12 }, async (_, at) => await reserve(gateways[at % 2]!)))
    expect(results.filter(result => result === 'granted').length * TURN <= getGrantableTokens(LIMIT)).toEqual(true)
  })

  it('should use its grant when the response of the store was lost', async () => {
    const gateway = createStore(rows, 'a')
    rows.failure = 'answer-lost'
    expect(await reserve(gateway)).toEqual('granted')
    rows.failure = undefined
    expect(await reserve(gateway)).toEqual('granted')
    const row = decodeBudgetRow(rows.getRow(getBudgetKey('program'))!)
    // Two turns are in progress; if the grant with the lost response were not used, the row would grant three.
    expect(getTotalGranted(row)).toEqual(2 * TURN)
  })

  it('should spend its grant while the store is unavailable, and report the budget as unreadable beyond it', async () => {
    const gateway = createStore(rows, 'a')
    const first = await requestReservation(gateway)
    expect(first.type).toEqual('granted')
    if (first.type === 'granted') first.settle(0)
    rows.failure = 'refused'
    expect(await reserve(gateway)).toEqual('granted')
    expect(await reserve(gateway)).toEqual('unreadable')
  })

  it('should refuse a spent budget without another call of the store', async () => {
    const gateway = createStore(rows, 'a')
    while (await reserve(gateway) === 'granted');
    const before = rows.calls.read + rows.calls.commit
    expect(await reserve(gateway)).toEqual('spent')
    expect(rows.calls.read + rows.calls.commit).toEqual(before)
  })

  // The reserve is for programs that begin in an outage of the whole store, for which no gateway has a grant.
  it('should grant the whole budget while the store is available, the reserve included', async () => {
    const gateway = createStore(rows, 'a', createReserve())
    let granted = 0
    while (await reserve(gateway) === 'granted') granted += TURN
    expect(granted).toEqual(Math.floor(LIMIT / TURN) * TURN)
  })

  it('should grant a turn that only the whole budget covers', async () => {
    const gateway = createStore(rows, 'a', createReserve())
    const req = { req: 'r1', program: 'small', limit: TURN + 10, tokens: TURN, chooseTarget: () => undefined }
    expect((await gateway.reserve({ ...req, deadline: clock.now() + 300 })).type).toEqual('granted')
    expect((await gateway.reserve({ ...req, deadline: clock.now() + 300 })).type).toEqual('spent')
  })

  // A kill of all gateways loses the tokens of the turn in progress and the reserve; budgets of two to four turns have to survive both.
  it('should grant the next turn of a program whose gateway died with a turn in progress, while its reserve is unavailable', async () => {
    for (const limit of [900, 1_300, 1_800]) {
      const req = { req: 'r1', program: `p${limit}`, limit, tokens: 286, chooseTarget: () => undefined }
      const first = createStore(rows, 'a')
      const completed = await first.reserve({ ...req, deadline: clock.now() + 300 })
      if (completed.type === 'granted') completed.settle(75)
      expect((await first.reserve({ ...req, deadline: clock.now() + 300 })).type).toEqual('granted')
      expect((await createStore(rows, 'b').reserve({ ...req, deadline: clock.now() + 300 })).type).toEqual('granted')
    }
  })

  it('should use the cached row after its own changes, and after the conflict when another gateway changed the row', async () => {
    const gateway = createStore(rows, 'a')
    for (let turn = 0; turn < 3; turn++) {
      const reservation = await requestReservation(gateway)
      if (reservation.type === 'granted') reservation.settle(30)
      await gateway.returnUnusedOf('program')
    }
    expect([rows.calls.read, rows.calls.commit]).toEqual([0, 6])
    const other = createStore(rows, 'b')
    expect((await requestReservation(other)).type).toEqual('granted')
    expect((await requestReservation(gateway)).type).toEqual('granted')
    expect(rows.calls.read).toEqual(0)
  })

  it('should serve programs that begin in an outage from their reserve, and never grant more than the budget', async () => {
    const peers = createReserve()
    const gateways = ['a', 'b'].map(holder => createStore(rows, holder, peers))
    rows.failure = 'refused'
    let grantedTokens = 0
    for (let turn = 0; turn < 12; turn++) {
      if (turn === 6) rows.failure = undefined
      if (await reserve(gateways[turn % 2]!) === 'granted') grantedTokens += TURN
      if (turn === 0) expect(grantedTokens).toEqual(TURN)
    }
    expect(grantedTokens <= LIMIT).toEqual(true)
    expect(grantedTokens > LIMIT - 2 * TURN).toEqual(true)
  })

  it('should return the unspent tokens of a turn to the reserve', async () => {
    const gateway = createStore(rows, 'a', createReserve())
    rows.failure = 'refused'
    for (let turn = 0; turn < 10; turn++) {
      const reservation = await requestReservation(gateway)
      expect(reservation.type).toEqual('granted')
      if (reservation.type === 'granted') reservation.settle(9)
    }
  })

  // Without returns, tokens that a program doesn't use at one gateway are missing at the next, and are lost when a gateway crashes.
  it('should return unused tokens, so that a program is served at each of many gateways', async () => {
    for (let at = 0; at < 10; at++) {
      const shiftedClock = new ShiftedClock()
      const gateway = createStore(rows, `gateway ${at}`, NO_PEERS, shiftedClock)
      const reservation = await requestReservation(gateway, 300, shiftedClock)
      expect(reservation.type).toEqual('granted')
      if (reservation.type === 'granted') reservation.settle(30)
      await gateway.returnUnused()
      expect(getTotalGranted(decodeBudgetRow(rows.getRow(getBudgetKey('program'))!)) > 30 * (at + 1)).toEqual(true)
      shiftedClock.shiftMs += RETURN_AFTER_MS
      await gateway.returnUnused()
      expect(getTotalGranted(decodeBudgetRow(rows.getRow(getBudgetKey('program'))!))).toEqual(30 * (at + 1))
    }
  })

  it('should not return tokens that a turn reserves during the return', async () => {
    const slow = new SlowRowStore()
    const gateway = createStore(slow, 'a')
    const first = await requestReservation(gateway)
    if (first.type === 'granted') first.settle(30)
    slow.delayMs = 20
    const returning = gateway.returnUnusedOf('program')
    slow.delayMs = 0
    expect((await requestReservation(gateway)).type).toEqual('granted')
    await returning
    expect(getTotalGranted(decodeBudgetRow(slow.getRow(getBudgetKey('program'))!)) >= 30 + TURN).toEqual(true)
  })

  it('should keep tokens whose return the store refused', async () => {
    const gateway = createStore(rows, 'a')
    const first = await requestReservation(gateway)
    if (first.type === 'granted') first.settle(0)
    rows.failure = 'refused'
    await gateway.returnUnusedOf('program')
    expect(await reserve(gateway)).toEqual('granted')
  })

  it('should recall unused grants of other gateways before it reports a budget as spent', async () => {
    const gateways = new Map<string, BudgetStore>()
    const recall: Peers['recall'] = async (program, ids) => { for (const id of ids) await gateways.get(id)?.returnUnusedOf(program) }
    for (const id of ['a', 'b', 'c', 'd', 'e']) gateways.set(id, createStore(rows, `${id}/1`, { ...NO_PEERS, recall }))
    for (const gateway of gateways.values()) {
      const reservation = await requestReservation(gateway)
      expect(reservation.type).toEqual('granted')
      if (reservation.type === 'granted') reservation.settle(30)
    }
  })

  it('should never spend more than the row grants, with lost responses and late returns', async () => {
    const shiftedClock = new ShiftedClock()
    const gateways = ['a', 'b', 'c'].map(holder => createStore(rows, holder, NO_PEERS, shiftedClock))
    let spentTokens = 0
    for (let turn = 0; turn < 60; turn++) {
      const reservation = await requestReservation(gateways[turn % 3]!, 300, shiftedClock)
      const spent = turn % 7 * 5
      if (reservation.type === 'granted') {
        spentTokens += spent
        reservation.settle(spent)
      }
      if (turn % 4 === 1) {
        shiftedClock.shiftMs += RETURN_AFTER_MS
        if (turn % 8 === 1) rows.failure = 'answer-lost'
        await Promise.all(gateways.map(async gateway => { await gateway.returnUnused() }))
        rows.failure = undefined
      }
    }
    expect(spentTokens <= getGrantableTokens(LIMIT)).toEqual(true)
    expect(spentTokens > getGrantableTokens(LIMIT) - TURN - 3 * 30).toEqual(true)
  })

  it('should borrow at once while the partition of the budget does not respond', async () => {
    const gateway = createStore(rows, 'a', createReserve())
    rows.failedPartitions.set(getBudgetKey('program').part, 'silent')
    const first = await requestReservation(gateway, 1_000)
    if (first.type === 'granted') first.settle(0)
    const startedAt = clock.now()
    expect(await reserve(gateway, 1_000)).toEqual('granted')
    expect(clock.now() - startedAt < 100).toEqual(true)
  })

  it('should retry at the store when the reserve lends nothing', async () => {
    const gateway = createStore(rows, 'a')
    rows.failure = 'refused'
    const reservation = reserve(gateway, 800)
    setTimeout(() => { rows.failure = undefined }, 150)
    expect(await reservation).toEqual('granted')
  })
})

const clock = new SteadyClock()

/** A steady clock that tests can advance. */
class ShiftedClock extends Clock {
  shiftMs = 0

  now (): number {
    return clock.now() + this.shiftMs
  }
}

/** A store whose calls begin after a delay. */
class SlowRowStore extends MemoryRowStore {
  delayMs = 0

  override async commit (transaction: RowTransaction, options?: CallOptions): Promise<RowCommit> {
    const { delayMs } = this
    if (delayMs > 0) await new Promise(resolve => { setTimeout(resolve, delayMs) })
    return await super.commit(transaction, options)
  }

  override async read (range: RowRange, options?: CallOptions): Promise<RowSnapshot> {
    const { delayMs } = this
    if (delayMs > 0) await new Promise(resolve => { setTimeout(resolve, delayMs) })
    return await super.read(range, options)
  }
}

type Peers = BudgetStoreOptions['peers']

const NO_PEERS: Peers = {
  borrow: async () => ({ type: 'unavailable' }),
  closeReserve: async () => ({ type: 'unavailable' }),
  recall: async () => {}
}

function createReserve (): Peers {
  const ledger = new ReserveLedger({ clock, incarnation: 'run-1' })
  ledger.open({})
  return {
    ...NO_PEERS,
    borrow: async req => {
      const loan = ledger.lend(req)
      return loan.type === 'lent' ? { type: 'lent', loan: { settle: spent => { ledger.settle(loan.loan, spent) } } } : loan
    },
    closeReserve: async program => ledger.closeReserve(program)
  }
}

function createStore (rows: MemoryRowStore, holder: string, peers: Peers = NO_PEERS, now: Clock = clock): BudgetStore {
  const log = new DecisionLog({ process: 'test', id: holder, isSilent: true })
  const access = new StoreAccess({ store: rows, clock: now, log, onRetry: () => {}, onUnavailable: () => {}, onAvailable: () => {} })
  return new BudgetStore({ access, clock: now, log, holder, peers, onLoan: () => {} })
}

async function reserve (store: BudgetStore, waitMs = 300): Promise<Reservation['type']> {
  return (await requestReservation(store, waitMs)).type
}

async function requestReservation (store: BudgetStore, waitMs = 300, now: Clock = clock): Promise<Reservation> {
  return await store.reserve({
    req: 'r1', program: 'program', limit: LIMIT, tokens: TURN, chooseTarget: () => undefined, deadline: now.now() + waitMs
  })
}
