import { expect } from 'earl'
import fc from 'fast-check'
import { getGrantableTokens, getReserveTokens } from '../../../src/core/budget/index.js'
import { Clock } from '../../../src/core/clock/index.js'
import { ReserveLedger, RESERVE_RETENTION_MS } from '../../../src/core/reserve/index.js'

/** Seed of the random cases, which makes every run test the same ones. */
const SEED = 20261204

/** Token budget with a reserve of 450. */
const LIMIT = 1_286

class ManualClock extends Clock {
  time = 0

  now (): number {
    return this.time
  }
}

describe('ReserveLedger', () => {
  let clock: ManualClock
  beforeEach(() => { clock = new ManualClock() })

  it('should never lend more than the reserve, whichever loans are settled', () => {
    const spentShare = fc.double({ min: 0, max: 1, noNaN: true })
    const turn = fc.record({ tokens: fc.integer({ min: 1, max: 200 }), spentShare, isSettled: fc.boolean() })
    fc.assert(fc.property(fc.integer({ min: 100, max: 6_000 }), fc.array(turn, { maxLength: 80 }), (limit, turns) => {
      const ledger = open(false)
      let usedTokens = 0
      for (const { tokens, spentShare, isSettled } of turns) {
        const loan = ledger.lend({ program: 'p', limit, tokens })
        if (loan.type !== 'lent') continue
        const spent = Math.floor(tokens * spentShare)
        usedTokens += isSettled ? spent : tokens
        if (isSettled) ledger.settle(loan.loan, spent)
      }
      expect(usedTokens <= getReserveTokens(limit)).toEqual(true)
      expect(getReserveTokens(limit) + getGrantableTokens(limit)).toEqual(limit)
    }), { seed: SEED, numRuns: 200 })
  })

  it('should report a reserve as permanently spent only when no loan is open', () => {
    const ledger = open(false)
    const first = ledger.lend({ program: 'p', limit: LIMIT, tokens: 400 })
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 100 })).toEqual({ type: 'spent', isForGood: false })
    if (first.type === 'lent') ledger.settle(first.loan, 390)
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 100 })).toEqual({ type: 'spent', isForGood: true })
  })

  it('should not count a settlement twice', () => {
    const ledger = open(false)
    const loan = ledger.lend({ program: 'p', limit: LIMIT, tokens: 400 })
    if (loan.type !== 'lent') throw new Error('refused')
    ledger.settle(loan.loan, 100)
    ledger.settle(loan.loan, 0)
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 351 }).type).toEqual('spent')
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 350 }).type).toEqual('lent')
  })

  // A holder that is killed during an outage loses the record of its loans, so lending again at once could exceed the reserve.
  it('should lend nothing after a restart until the programs from before have ended', () => {
    const ledger = open(true)
    clock.time = RESERVE_RETENTION_MS - 1
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 1 })).toEqual({ type: 'unavailable' })
    clock.time = RESERVE_RETENTION_MS
    expect(ledger.lend({ program: 'p', limit: LIMIT, tokens: 1 }).type).toEqual('lent')
  })

  it('should lend nothing before this gateway is registered', () => {
    expect(new ReserveLedger({ clock }).lend({ program: 'p', limit: LIMIT, tokens: 1 })).toEqual({ type: 'unavailable' })
  })

  const open = (hasPredecessor: boolean): ReserveLedger => {
    const ledger = new ReserveLedger({ clock })
    ledger.open(hasPredecessor)
    return ledger
  }
})
