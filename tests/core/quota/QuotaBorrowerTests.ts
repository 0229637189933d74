import { expect } from 'earl'
import { AgeClock, ManualClock } from '../../../src/core/clock/index.js'
import { GRANT_TTL_MS, QuotaBorrower, SKIP_MS, type QuotaLoan } from '../../../src/core/quota/index.js'

const HOLDERS = ['near', 'far']

describe('QuotaBorrower', () => {
  let clock: ManualClock
  let wallClock: ManualClock
  let expired: number
  let borrower: QuotaBorrower
  beforeEach(() => {
    clock = new ManualClock(0)
    wallClock = new ManualClock(0)
    expired = 0
    const ages = new AgeClock(clock, wallClock)
    borrower = new QuotaBorrower({ clock, ages, random: () => 0.5, onExpired: tokens => { expired += tokens } })
  })

  const record = (loan: QuotaLoan | undefined, wanted = 1, holder = 'near'): void => {
    borrower.recordLoan(holder, wanted, { at: clock.now(), wallAt: wallClock.now() }, loan)
  }
  const grant = (tokens: number, waitMs = 0): QuotaLoan => ({ type: 'granted', tokens, isAmple: false, waitMs })
  const demand = (requests: number): void => { for (let at = 0; at < requests; at++) borrower.recordDemand(1, { perSecond: 1, burst: 1 }) }

  // Tokens were used after a freeze, when the same tokens existed again at the holder.
  it('should use no token once either clock shows that its request is 400 ms old', () => {
    for (const late of [clock, wallClock]) {
      record(grant(2), 2)
      expect(borrower.take() !== undefined).toEqual(true)
      late.advanceTo(late.now() + GRANT_TTL_MS)
      expect(borrower.take()).toEqual(undefined)
    }
    expect(expired).toEqual(2)
  })

  it('should use a grant that came late as long as its request is young, and no token before it exists', () => {
    const requestedAt = { at: 0, wallAt: 0 }
    clock.advanceTo(100)
    borrower.recordLoan('near', 1, requestedAt, grant(1, 50))
    expect([borrower.take(), borrower.getNextTokenAt([])]).toEqual([undefined, 150])
    clock.advanceTo(150)
    expect(borrower.take()?.tokens).toEqual(0)
    clock.advanceTo(GRANT_TTL_MS)
    borrower.recordLoan('near', 1, requestedAt, grant(1))
    expect(borrower.take()).toEqual(undefined)
  })

  it('should use a returned token again while it is valid', () => {
    record(grant(1))
    const taken = borrower.take()!
    borrower.giveBack(taken)
    expect(borrower.take()).toEqual(taken)
    clock.advanceTo(GRANT_TTL_MS)
    expect(borrower.take()).toEqual(undefined)
    borrower.giveBack(taken)
    expect([borrower.take(), expired]).toEqual([undefined, 1])
  })

  it('should borrow what waits and what the recent demand uses in a quarter of a second', () => {
    demand(1)
    expect(borrower.getWanted(1)).toEqual(1)
    demand(39)
    expect(borrower.getWanted(3)).toEqual(13)
    record(grant(13), 13)
    expect(borrower.getWanted(0)).toEqual(0)
  })

  // Under overload each gateway asked every holder with each request.
  it('should ask a holder with too few tokens more and more rarely, and others at once', () => {
    const pauses = [50, 100, 200, 400, 400].map(pauseMs => {
      record({ type: 'refused', waitMs: 1 })
      expect(borrower.getNextHolder(HOLDERS)).toEqual('far')
      clock.advanceTo(clock.now() + pauseMs - 1)
      const isEarly = borrower.getNextHolder(HOLDERS) === 'near'
      clock.advanceTo(clock.now() + 1)
      return isEarly || borrower.getNextHolder(HOLDERS) !== 'near'
    })
    expect(pauses).toEqual([false, false, false, false, false])
  })

  it('should skip a holder that does not answer, and tell when none does', () => {
    for (const holder of HOLDERS) record(undefined, 1, holder)
    expect([borrower.getNextHolder(HOLDERS), borrower.isAnyLending(HOLDERS)]).toEqual([undefined, false])
    expect(borrower.getNextTokenAt(HOLDERS)).toEqual(SKIP_MS)
    clock.advanceTo(SKIP_MS)
    record({ type: 'refused', waitMs: 700 })
    expect(borrower.isAnyLending(HOLDERS)).toEqual(true)
  })

  // All refused callers returned at the same time.
  it('should spread the returns of refused callers, none before there is a token', () => {
    for (const holder of HOLDERS) record({ type: 'refused', waitMs: 700 }, 1, holder)
    const seconds = Array.from({ length: 8 }, () => borrower.getReturnSeconds(HOLDERS))
    expect(seconds.every(value => value >= 0.7 && value <= 6)).toEqual(true)
    expect(seconds.slice(0, 4)).toEqual([1.7, 2.7, 3.7, 4.7])
  })
})
