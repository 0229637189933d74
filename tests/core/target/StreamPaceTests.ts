import { expect } from 'earl'
import { BestPace, StreamPace } from '../../../src/core/target/index.js'

describe('StreamPace', () => {
  let best: BestPace
  beforeEach(() => { best = new BestPace() })

  const record = (pace: StreamPace, gapMs: number, count: number, now = 0): void => {
    for (let at = 0; at < count; at++) pace.recordGap(gapMs, now)
  }

  it('should compare the gaps between events with the shortest average', () => {
    const pace = new StreamPace(best)
    record(pace, 10, 40)
    expect(pace.getSlowdown(0)).toEqual(1)
    record(pace, 40, 200)
    expect(pace.getSlowdown(0)).toBeCloseTo(4, 0.05)
  })

  // A gateway first used a target when it was slow already, and took its pace for normal.
  it('should compare a target that was slow from its first use with others of its service', () => {
    record(new StreamPace(best), 10, 40)
    const slow = new StreamPace(best)
    record(slow, 50, 5)
    expect(slow.getSlowdown(0)).toBeCloseTo(5, 0.05)
  })

  it('should forget a slowdown within some seconds, so that the target is tried again', () => {
    const pace = new StreamPace(best)
    record(pace, 10, 40)
    record(pace, 50, 200)
    expect(pace.getSlowdown(2_000)).toBeCloseTo(3, 0.05)
    expect(pace.getSlowdown(20_000)).toBeCloseTo(1, 0.05)
  })

  it('should assume no slowdown before anything is known', () => {
    expect(new StreamPace(best).getSlowdown(0)).toEqual(1)
    const pace = new StreamPace(best)
    record(pace, 50, 5)
    expect(pace.getSlowdown(0)).toEqual(1)
  })
})
