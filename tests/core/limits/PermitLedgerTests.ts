import { expect } from 'earl'
import fc from 'fast-check'
import { ManualClock } from '../../../src/core/clock/index.js'
import { MIN_PERMITS_PER_SECOND, PermitLedger } from '../../../src/core/limits/index.js'

/** Seed of the random cases, which makes every run test the same ones. */
const SEED = 20261204

const WINDOW_MS = 4_000

describe('PermitLedger', () => {
  let clock: ManualClock
  let ledger: PermitLedger

  beforeEach(() => {
    clock = new ManualClock(1_000)
    ledger = new PermitLedger(clock)
  })

  it('should give requests that can wait their time in order, and refuse those that can not', () => {
    const request = (maxWaitMs: number): unknown => ledger.request({ target: 'a', perSecond: 2, maxWaitMs })
    expect(request(0)).toEqual({ type: 'granted', waitMs: 0 })
    expect(request(0)).toEqual({ type: 'refused', waitMs: 500 })
    expect(request(1_000)).toEqual({ type: 'granted', waitMs: 500 })
    expect(request(1_000)).toEqual({ type: 'granted', waitMs: 1_000 })
    expect(request(1_000)).toEqual({ type: 'refused', waitMs: 1_500 })
  })

  it('should grant permits after those that a borrower holds from another ledger', () => {
    const request = (heldMs: number): unknown => ledger.request({ target: 'a', perSecond: 2, maxWaitMs: 10_000, heldMs })
    expect(request(3_000)).toEqual({ type: 'granted', waitMs: 3_500 })
    expect(request(0)).toEqual({ type: 'granted', waitMs: 4_000 })
    expect(request(3_500)).toEqual({ type: 'granted', waitMs: 4_500 })
  })

  it('should keep its rate while borrowers state their permits later than they are, by the time of a call', () => {
    let heldMs = 0
    for (let at = 0; at < 100; at++) {
      const result = ledger.request({ target: 'a', perSecond: 2, maxWaitMs: 60_000, heldMs })
      expect(result).toEqual({ type: 'granted', waitMs: at * 500 })
      heldMs = result.waitMs + 190
    }
  })

  it('should keep the targets apart', () => {
    ledger.request({ target: 'a', perSecond: 1, maxWaitMs: 0 })
    expect(ledger.request({ target: 'b', perSecond: 1, maxWaitMs: 0 }).type).toEqual('granted')
  })

  it('should still grant a permit now and then for a target that accepts none, since only a response shows its end', () => {
    expect(ledger.request({ target: 'a', perSecond: 0, maxWaitMs: 0 }).type).toEqual('granted')
    clock.advanceTo(1_000 + 1_000 / MIN_PERMITS_PER_SECOND)
    expect(ledger.request({ target: 'a', perSecond: 0, maxWaitMs: 0 }).type).toEqual('granted')
  })

  it('should grant at most the rate and a small burst in any 4 s, whatever requests arrive', () => {
    const toInteger = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min, max })
    const arrival = fc.record({ pauseMs: toInteger(0, 900), count: toInteger(1, 8), maxWaitMs: toInteger(0, 2_000) })
    fc.assert(fc.property(fc.integer({ min: 1, max: 20 }), fc.array(arrival, { maxLength: 60 }), (perSecond, arrivals) => {
      const clock = new ManualClock(0)
      const ledger = new PermitLedger(clock)
      const times: number[] = []
      for (const { pauseMs, count, maxWaitMs } of arrivals) {
        clock.advanceTo(clock.now() + pauseMs)
        for (let at = 0; at < count; at++) {
          const result = ledger.request({ target: 'a', perSecond, maxWaitMs })
          if (result.type === 'granted') times.push(clock.now() + result.waitMs)
        }
      }
      for (const start of times) {
        // A tolerance for the rounding of times that are not whole milliseconds.
        const inWindow = times.filter(time => time >= start - 1e-6 && time < start + WINDOW_MS - 1e-3).length
        expect(inWindow <= perSecond * WINDOW_MS / 1_000 + 2).toEqual(true)
      }
    }), { seed: SEED, numRuns: 300 })
  })
})
