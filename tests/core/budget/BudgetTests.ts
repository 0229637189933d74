import { expect } from 'earl'
import fc from 'fast-check'
import { BudgetAccount, getTotalGranted, SPENT_CACHE_MS, planGrant, type BudgetRow } from '../../../src/core/budget/index.js'

/** Seed of the random cases, which makes every run test the same ones. */
const SEED = 20261204

describe('planGrant', () => {
  it('should never let all grants exceed the budget', () => {
    const request = fc.record({ holder: fc.constantFrom('a', 'b', 'c'), missing: fc.integer({ min: 1, max: 200 }) })
    fc.assert(fc.property(fc.integer({ min: 100, max: 6_000 }), fc.array(request, { maxLength: 60 }), (limit, requests) => {
      let row: BudgetRow = { granted: {} }
      for (const { holder, missing } of requests) {
        const plan = planGrant(row, { holder, missing, limit, target: undefined })
        if (plan.type === 'grant') row = plan.next
        else expect(limit - getTotalGranted(row) < missing).toEqual(true)
      }
      expect(getTotalGranted(row) <= limit).toEqual(true)
    }), { seed: SEED, numRuns: 200 })
  })

  it('should grant tokens to the seventh gateway that receives turns of a program', () => {
    let row: BudgetRow = { granted: {} }
    for (const holder of ['a', 'b', 'c', 'd', 'e', 'f', 'g']) {
      const plan = planGrant(row, { holder, missing: 135, limit: 2_700, target: undefined })
      if (plan.type !== 'grant') throw new Error(`${holder} was refused`)
      row = plan.next
    }
    expect(Object.keys(row.granted).length).toEqual(7)
  })

  it('should store the target of the latest grant', () => {
    const first = planGrant({ granted: {} }, { holder: 'a', missing: 10, limit: 100, target: 'gone@1' })
    if (first.type !== 'grant') throw new Error('refused')
    const second = planGrant(first.next, { holder: 'b', missing: 10, limit: 100, target: 'new@2' })
    expect(second.type === 'grant' && second.next.target).toEqual('new@2')
  })
})

describe('BudgetAccount', () => {
  it('should make the reserved tokens that a turn did not spend available again', () => {
    const account = new BudgetAccount(0)
    account.recordGrantRequest()
    account.setGranted(200)
    expect(account.tryReserve(135)).toEqual(true)
    expect(account.tryReserve(135)).toEqual(false)
    account.settle(135, 40)
    expect(account.getAvailable()).toEqual(160)
  })

  it('should count tokens granted to an earlier account as spent', () => {
    const account = new BudgetAccount(0)
    account.setGranted(500)
    expect(account.getAvailable()).toEqual(0)
  })

  it('should refuse a turn by the cached remainder of the row, but not one that its available tokens cover', () => {
    const account = new BudgetAccount(0)
    account.recordGrantRequest()
    account.setGranted(100)
    account.recordRemaining(20, 0)
    expect(account.isCachedAsSpent(135, 10)).toEqual(true)
    expect(account.isCachedAsSpent(120, 10)).toEqual(false)
    expect(account.isCachedAsSpent(135, SPENT_CACHE_MS)).toEqual(false)
  })

  it('should not spend tokens whose return is unconfirmed until its next commit of the row', () => {
    const account = new BudgetAccount(0)
    account.recordGrantRequest()
    account.confirmGranted(200)
    expect(account.beginReturn()).toEqual(200)
    account.setGranted(200)
    expect(account.tryReserve(1)).toEqual(false)
    account.confirmGranted(200)
    expect(account.tryReserve(200)).toEqual(true)
  })
})
