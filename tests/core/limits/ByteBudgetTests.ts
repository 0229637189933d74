import { expect } from 'earl'
import fc from 'fast-check'
import { ByteBudget, SMALL_ACCOUNT_BYTES } from '../../../src/core/limits/index.js'

describe('ByteBudget', () => {
  it('should limit the bytes of all requests together, and take back those of requests that are over', () => {
    const budget = new ByteBudget({ maxBytes: 100 })
    const [first, second] = [budget.open(), budget.open()]
    expect([first.tryHold(60), second.tryHold(50), second.tryHold(40), first.tryHold(1)]).toEqual([true, false, true, false])
    first.release()
    first.release()
    expect([budget.getHeldBytes(), second.tryHold(60), second.tryHold(1)]).toEqual([40, true, false])
  })

  // A few large bodies refused every other request.
  it('should leave a part to small accounts when large ones hold the rest', () => {
    const budget = new ByteBudget({ maxBytes: 10 * SMALL_ACCOUNT_BYTES })
    expect(budget.open().tryHold(9 * SMALL_ACCOUNT_BYTES)).toEqual(false)
    expect(budget.open().tryHold(8 * SMALL_ACCOUNT_BYTES)).toEqual(true)
    expect([budget.open().tryHold(SMALL_ACCOUNT_BYTES + 1), budget.open().tryHold(SMALL_ACCOUNT_BYTES)]).toEqual([false, true])
  })

  it('should limit the bytes of the accounts of one owner', () => {
    const budget = new ByteBudget({ maxBytes: 100, maxBytesPerOwner: 50 })
    expect([budget.open('a').tryHold(50), budget.open('a').tryHold(1), budget.open('b').tryHold(50)]).toEqual([true, false, true])
  })

  it('should tell how much is held beyond a share, also what was not asked for', () => {
    const budget = new ByteBudget({ maxBytes: 100 })
    const held = budget.open()
    held.hold(120)
    expect([budget.getExcessBytes(0.5), held.tryHold(1)]).toEqual([70, false])
    held.set(30)
    expect([budget.getExcessBytes(0.5), held.getBytes()]).toEqual([0, 30])
  })

  // An account that is released twice, or frees more than it holds, would let others hold too much or too little for good.
  it('should hold nothing once all accounts are released, whatever happened in which order', () => {
    const step = fc.record({ account: fc.nat(4), act: fc.constantFrom('tryHold', 'hold', 'set', 'free', 'release'), bytes: fc.nat(200_000) })
    fc.assert(fc.property(fc.array(step), steps => {
      const budget = new ByteBudget({ maxBytes: 500_000, maxBytesPerOwner: 300_000 })
      const accounts = Array.from({ length: 5 }, (_, at) => budget.open(`owner ${at % 2}`))
      for (const { account, act, bytes } of steps) {
        const held = accounts[account]!
        if (act === 'release') held.release()
        else held[act as 'hold'](bytes)
        expect(budget.getHeldBytes()).toEqual(accounts.reduce((sum, each) => sum + each.getBytes(), 0))
      }
      for (const held of accounts) held.release()
      expect([budget.getHeldBytes(), budget.open('owner 0').tryHold(SMALL_ACCOUNT_BYTES), budget.open('owner 1').tryHold(SMALL_ACCOUNT_BYTES)])
        .toEqual([0, true, true])
    }))
  })
})
