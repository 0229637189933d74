import { expect } from 'earl'
import fc from 'fast-check'
import { SpanCount } from '../../../src/core/quota/index.js'

describe('SpanCount', () => {
  // A count that is too low lets a holder lend more than its share of the bound.
  it('should count all events of the span, and none that are older by more than a slot', () => {
    const event = fc.record({ waitMs: fc.integer({ min: 0, max: 400 }), count: fc.integer({ min: 0, max: 5 }) })
    fc.assert(fc.property(fc.array(event), events => {
      const span = new SpanCount()
      const all: Array<{ readonly at: number, readonly count: number }> = []
      let now = 0
      for (const { waitMs, count } of events) {
        now += waitMs
        span.add(count, now)
        all.push({ at: now, count })
        const countSince = (from: number): number => all.reduce((sum, event) => sum + (event.at > from ? event.count : 0), 0)
        expect(span.getCount(1_000, now)).toBeGreaterThanOrEqual(countSince(now - 1_000))
        expect(span.getCount(1_000, now)).toBeLessThanOrEqual(countSince(now - 1_101))
      }
    }))
  })
})
