import { expect } from 'earl'
import fc from 'fast-check'
import { getGrantableTokens, getReserveTokens } from '../../../src/core/budget/index.js'
import { Clock } from '../../../src/core/clock/index.js'
import { ReserveLedger, RESERVE_RETENTION_MS } from '../../../src/core/reserve/index.js'

/** Seed of the random cases, which makes every run test the same ones. */
const SEED = 20261204

/** Token budget with a reserve of 450. */
const LIMIT = 1_800

class ManualClock extends Clock {
  time = 0

  now (): number {
    return this.time
  }
}

describe('ReserveLedger', () => {
  let clock: ManualClock
  beforeEach(() => { clock = new ManualClock() })

  // X-Token-Budget bounds all turns together, except that a turn which begins while tokens remain may finish.
  it('should never lend more than the reserve and one turn, whichever loans are settled', () => {
    const spentShare = fc.double({ min: 0, max: 1, noNaN: true })
    const turn = fc.record({ tokens: fc.integer({ min: 1, max: 200 }), spentShare, isSettled: fc.boolean() })
    fc.assert(fc.property(fc.integer({ min: 100, max: 6_000 }), fc.array(turn, { maxLength: 80 }), (limit, turns) => {
      const ledger = open(false)
      let usedTokens = 0
      for (const { tokens, spentShare, isSettled } of turns) {
        const loan = ledger.lend({ program: 'p', limit, tokens })
        if (loan.type !== 'lent') continue
        expect(usedTokens < getReserveTokens(limit)).toEqual(true)
        const spent = Math.floor(tokens * spentShare)
        usedTokens += isSettled ? spent : tokens
        if (isSettled) ledger.settle(loan.loan, spent)
      }
      expect(getReserveTokens(limit) + getGrantableTokens(limit)).toEqual(limit)
    }), { seed: SEED, numRuns: 200 })
  })

  // Turns of at most 286 tokens that generate 73 on average, with budgets of 500 tokens for a turn and 900 for two or three.
  it('should serve the turns of a program with a small budget throughout an outage', () => {
    for (const { limit, turns } of [{ limit: 500, turns: 1 }, { limit: 900, turns: 3 }]) {
      const ledger = open(false)
      for (let turn = 0; turn < turns; turn++) {
        const loan = ledger.lend({ program: 'p', limit, tokens: 286 })
        expect(loan.type).toEqual('lent')
        if (loan.type === 'lent') ledger.settle(loan.loan, 73)
      }
    }
  })

  it('should not settle a new loan by a late settlement of a loan that the previous process made', () => {
    const [previous, next] = ['run-1', 'run-2'].map(incarnation => {
      const ledger = new ReserveLedger({ clock, incarnation })
      ledger.open({})
      return { ledger, loan: ledger.lend({ program: 'p', limit: LIMIT, tokens: 450 }) }
    })
    if (previous!.loan.type === 'lent') next!.ledger.settle(previous!.loan.loan, 0)
    expect(next!.ledger.lend({ program: 'p', limit: LIMIT, tokens: 1 }).type).toEqual('spent')
  })

  it('should report a reserve as permanently spent only when no loan is open', () => {
    const ledger = open(false)
    const first = ledger.lend({ program: 'p', limit: LIMIT, tokens: 450 })
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 100 })).toEqual({ type: 'spent', isForGood: false })
    if (first.type === 'lent') ledger.settle(first.loan, 450)
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 100 })).toEqual({ type: 'spent', isForGood: true })
  })

  it('should not count a settlement twice', () => {
    const ledger = open(false)
    const loan = ledger.lend({ program: 'p', limit: LIMIT, tokens: 400 })
    if (loan.type !== 'lent') throw new Error('refused')
    ledger.settle(loan.loan, 100)
    ledger.settle(loan.loan, 0)
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 350 }).type).toEqual('lent')
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 1 }).type).toEqual('spent')
  })

  // A holder that is killed during an outage loses the record of its loans, so lending again at once could exceed the reserve.
  it('should lend nothing after a restart until the programs from before have ended', () => {
    const ledger = open(true)
    clock.time = RESERVE_RETENTION_MS - 1
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 1 })).toEqual({ type: 'unavailable' })
    clock.time = RESERVE_RETENTION_MS
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 1 }).type).toEqual('lent')
  })

  it('should continue from the state that the previous process left, and count its open loans in full', () => {
    const first = open(false)
    const settled = first.lend({ program: 'p', limit: LIMIT, tokens: 100 })
    if (settled.type === 'lent') first.settle(settled.loan, 30)
    first.lend({ program: 'p', limit: LIMIT, tokens: 400 })
    first.closeReserve('q')
    const state = first.close()
    expect(first.lend({ program: 'r', limit: LIMIT, tokens: 1 })).toEqual({ type: 'unavailable' })
    const second = new ReserveLedger({ clock, incarnation: 'run-1' })
    second.open(state)
    expect(second.closeReserve('p')).toEqual({ type: 'closed', spent: 430 })
    expect(second.lend({ program: 'q', limit: LIMIT, tokens: 1 })).toEqual({ type: 'spent', isForGood: true })
    expect(second.lend({ program: 'r', limit: LIMIT, tokens: 1 }).type).toEqual('lent')
  })

  it('should leave no state while the loans of the previous process are not known', () => {
    expect(open(true).close()).toEqual(undefined)
    expect(new ReserveLedger({ clock, incarnation: 'run-1' }).close()).toEqual(undefined)
  })

  it('should lend nothing before this gateway is registered', () => {
    expect(new ReserveLedger({ clock, incarnation: 'run-1' }).lend({ program: 'p', limit: LIMIT, tokens: 1 })).toEqual({ type: 'unavailable' })
  })

  const open = (hasPredecessor: boolean): ReserveLedger => {
    const ledger = new ReserveLedger({ clock, incarnation: 'run-1' })
    ledger.open(hasPredecessor ? undefined : {})
    return ledger
  }
})
