import { expect } from 'earl'
import fc from 'fast-check'
import { ManualClock } from '../../../src/core/clock/index.js'
import { MAX_ADVANCE_MS, QuotaBucket, QuotaDebts, QuotaHolder, type LocalShare, type QuotaRequest, type VersionedQuota } from '../../../src/core/quota/index.js'

const QUOTA = { perSecond: 40, burst: 20 }
const REQUEST: QuotaRequest = { workspace: 'shop', version: 3, quota: QUOTA, tokens: 1_000 }

describe('QuotaBucket', () => {
  // The wait of a refusal was too short, and callers returned to a bucket without a token.
  it('should have a token after the wait that it states, and never more than its rate and capacity allow', () => {
    const steps = fc.array(fc.record({ waitMs: fc.integer({ min: 0, max: 2_000 }), wanted: fc.integer({ min: 1, max: 30 }) }))
    fc.assert(fc.property(steps, fc.integer({ min: 1, max: 100 }), fc.integer({ min: 1, max: 50 }), (steps, perSecond, capacity) => {
      const bucket = new QuotaBucket({ perSecond, capacity }, capacity, 0)
      let now = 0
      let taken = 0
      for (const { waitMs, wanted } of steps) {
        now += waitMs
        const { tokens, waitMs: nextMs } = bucket.take(wanted, now)
        taken += tokens
        expect(taken).toBeLessThanOrEqual(capacity + perSecond * (now + MAX_ADVANCE_MS) / 1_000 + 1e-5)
        if (tokens > 0) continue
        now += nextMs
        const next = bucket.take(1, now)
        expect(next.tokens).toEqual(1)
        taken++
      }
    }))
  })
})

describe('QuotaHolder', () => {
  let clock: ManualClock
  let local: LocalShare | undefined
  let configured: VersionedQuota | undefined
  let holder: QuotaHolder
  beforeEach(() => {
    clock = new ManualClock(100_000)
    local = { share: 0.25, heldSince: -Infinity, hadOtherHolder: false }
    configured = undefined
    holder = new QuotaHolder({ clock, holders: { getLocalShare: () => local }, getQuota: () => configured })
  })

  const lend = (req: Partial<QuotaRequest> = {}): number => {
    const loan = holder.lend({ ...REQUEST, ...req })
    return loan.type === 'granted' ? loan.tokens : 0
  }

  it('should start with one token and what exists after 100 ms, and fill at the rate of its share, also unused', () => {
    expect(lend()).toEqual(2)
    clock.advanceTo(100_500)
    expect(lend()).toEqual(5)
    expect(lend({ workspace: 'other' })).toEqual(7)
  })

  it('should keep no more than its share of the burst and two tokens', () => {
    clock.advanceTo(200_000)
    expect(lend()).toEqual(5 + 2 + 1)
    expect(holder.lend(REQUEST)).toEqual({ type: 'refused', waitMs: 100 })
  })

  // A gateway that held a share again lent the tokens of the time in which another one held it.
  it('should start anew when another gateway has held the share meanwhile', () => {
    lend()
    clock.advanceTo(200_000)
    local = { share: 0.25, heldSince: 200_000, hadOtherHolder: true }
    expect(lend()).toEqual(2)
  })

  describe('with a tolerance', () => {
    // Share of the bound (40 x 5 + 20) x 1.1 + 20: 65.5 in 5.4 s; 54 of them are the rate.
    const tolerance = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
    let debts: QuotaDebts
    const start = (recorded?: number): void => {
      debts = new QuotaDebts(() => {})
      debts.open(new Map(recorded === undefined ? [] : [['shop', recorded]]), clock.now())
      holder = new QuotaHolder({ clock, holders: { getLocalShare: () => local }, tolerance, debts })
    }
    const record = (): void => {
      const written = debts.beginWrite(clock.now())
      if (written !== undefined) debts.endWrite(written)
    }

    // Programs whose requests came together lost one of them while their workspace was within its quota.
    it('should lend to programs in progress what is recorded beyond the tokens that exist, and no more than the bound in a span', () => {
      start()
      clock.advanceTo(200_000)
      const first = lend()
      expect([first, lend({ inProgress: 1_000 })]).toEqual([12, 0])
      const further: number[] = []
      for (let step = 0; step < 6; step++) {
        record()
        further.push(lend({ inProgress: 1_000 }))
      }
      expect([further, first + further.reduce((sum, tokens) => sum + tokens, 0)]).toEqual([[14, 13, 14, 12, 0, 0], 65])
      expect(lend()).toEqual(0)
    })

    // A restarted holder lent what its predecessor had lent in advance.
    it('should start below zero by the debts of its predecessor, and by the largest debt where another gateway held the share', () => {
      start(20)
      clock.advanceTo(102_000)
      expect(lend({ inProgress: 1_000 })).toEqual(1)
      start()
      local = { share: 0.25, heldSince: clock.now() - 1_000, hadOtherHolder: true }
      clock.advanceTo(107_200)
      expect(lend({ inProgress: 1_000 })).toEqual(0)
      clock.advanceTo(107_400)
      expect(lend({ inProgress: 1_000 })).toEqual(1)
    })

    // Each of many restarts within a window added a token to what was lent.
    it('should start empty, however often it restarts', () => {
      local = { share: 0.25, heldSince: -Infinity, hadOtherHolder: false }
      const lent = Array.from({ length: 10 }, () => {
        start()
        return lend()
      })
      expect(lent).toEqual(Array(10).fill(1))
    })

    it('should lend nothing before it knows the debts of its predecessor, then by the largest one', () => {
      holder = new QuotaHolder({ clock, holders: { getLocalShare: () => local }, tolerance, debts: new QuotaDebts(() => {}) })
      expect(holder.lend(REQUEST)).toEqual({ type: 'refused', waitMs: 50 })
      clock.advanceTo(105_400)
      expect(lend()).toEqual(1)
    })
  })

  // A gateway that did not know the list of gateways for a moment lent a full bucket again.
  it('should go on with its bucket after a time without a valid list', () => {
    clock.advanceTo(200_000)
    expect(lend()).toEqual(8)
    const held = local
    local = undefined
    lend()
    local = held
    expect(lend()).toEqual(0)
  })

  it('should lend nothing without a share', () => {
    local = undefined
    expect(holder.lend(REQUEST)).toEqual({ type: 'not-holder' })
  })

  // A borrower with an older configuration got tokens by the higher quota that it stated.
  it('should go by the newest quota that it knows or has been told', () => {
    lend({ version: 4, quota: { perSecond: 4, burst: 0 } })
    clock.advanceTo(101_000)
    expect(lend()).toEqual(1)
    configured = { version: 5, quota: undefined }
    expect(lend()).toEqual(1_000)
    configured = { version: 6, quota: { perSecond: 400, burst: 0 } }
    clock.advanceTo(102_000)
    lend({ version: 5 })
    clock.advanceTo(102_010)
    expect(lend()).toEqual(1)
  })
})
