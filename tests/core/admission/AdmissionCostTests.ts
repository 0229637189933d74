import { expect } from 'earl'
import { AdmissionQueue, RouteWork, type WaitingRequest } from '../../../src/core/admission/index.js'
import { getServedShare, replay, toLoad, type ReplayedRequest, type ReplayedResult } from './AdmissionReplay.js'

/** A kind of requests with its part of the load, its work, and how long its callers wait. */
interface Kind {
  readonly share: number
  readonly workMs: number
  readonly maxWaitMs: number
}

/** Lookups whose callers wait briefly, charges and reservations at one plain service. */
const LOOKUP: Kind = { share: 0.5, workMs: 52, maxWaitMs: 600 }
const CHARGE: Kind = { share: 0.25, workMs: 210, maxWaitMs: 2_500 }
const RESERVATION: Kind = { share: 0.25, workMs: 141, maxWaitMs: 1_250 }
const TOOLS = [LOOKUP, CHARGE, RESERVATION]

/** Many small requests beside a few large ones, whose callers wait as long. */
const SMALL: Kind = { share: 0.9, workMs: 60, maxWaitMs: 1_000 }
const LARGE: Kind = { share: 0.1, workMs: 400, maxWaitMs: 1_000 }

/** Targets for each gateway, and the requests that each runs at once. */
const TARGETS = 4
const PLACES = 6

/** Replays a burst of 6 s after 2 s of an ordinary load; returns the requests of the burst. */
function replayBurst (kinds: readonly Kind[], factor: number, { gateways = 1, isWorkKnown = true } = {}): ReplayedResult[] {
  const targets = Array.from({ length: TARGETS * gateways }, (_, at) => `target-${at}`)
  const perSecond = targets.length * PLACES * 1_000 / kinds.reduce((sum, { share, workMs }) => sum + share * workMs, 0)
  const load = (from: number, to: number, factor: number): ReplayedRequest[] => kinds.flatMap(
    ({ share, workMs, maxWaitMs }) => toLoad(from, to, perSecond * factor * share, { workMs, maxWaitMs, isInProgress: true, isWorkKnown })
  )
  const results = replay([...load(0, 2_000, 0.6), ...load(2_000, 8_000, factor)], { targets, places: PLACES, serviceMs: 100, gateways })
  return results.filter(({ at }) => at >= 2_000)
}

const getShares = (results: readonly ReplayedResult[], kinds: readonly Kind[]): number[] =>
  kinds.map(kind => getServedShare(results, ({ workMs }) => workMs === kind.workMs))

describe('AdmissionQueue of requests with unlike work and time', () => {
  // In order of arrival, at 1.2 times the capacity, 37% to 49% of the lookups were served and all charges, whose callers wait longer.
  it('should serve nearly all requests whose callers wait briefly while others can wait', () => {
    for (const gateways of [1, 7, 23]) {
      const results = replayBurst(TOOLS, 1.2, { gateways })
      expect(getShares(results, TOOLS)[0]!).toBeGreaterThan(0.85)
      expect(getServedShare(results)).toBeGreaterThan(0.8)
    }
  })

  // In order of arrival 57%, 40% and 21% were served.
  it('should serve more requests of a burst by refusing those with the most work, and none too rarely', () => {
    for (const [factor, least] of [[1.4, 0.7], [2, 0.6], [4, 0.3]] as const) {
      const results = replayBurst(TOOLS, factor, { gateways: 7 })
      const all = getServedShare(results)
      expect(all).toBeGreaterThan(least)
      expect(all).toBeGreaterThan(getServedShare(replayBurst(TOOLS, factor, { gateways: 7, isWorkKnown: false })) * 1.05)
      // A kind counts as starved below a quarter of all.
      for (const share of getShares(results, TOOLS)) expect(share).toBeGreaterThan(all / 4)
    }
  })

  it('should serve large requests at least half as often as small ones up to 1.4 times the capacity', () => {
    for (const factor of [1.2, 1.4]) {
      const [small, large] = getShares(replayBurst([SMALL, LARGE], factor), [SMALL, LARGE])
      expect(large!).toBeGreaterThan(small! / 2)
    }
  })

  it('should keep the order of arrival among requests that are alike, and refuse the last ones', () => {
    const queue = new AdmissionQueue<WaitingRequest & { readonly id: number }>()
    const base = { priority: 0, isInProgress: true, isWithinShare: true, isWorthwhile: true, workMs: 100 }
    for (const id of [0, 1, 2, 3, 4]) queue.add({ ...base, id, since: id, until: id + 300 })
    expect(queue.takeRefused(5, 10).map(({ req, isDisplaced }) => [req.id, isDisplaced])).toEqual([[3, false], [4, false]])
    expect([6, 7, 8].map(now => queue.take(now, () => true)?.id)).toEqual([0, 1, 2])
  })

  // Each step refused one of those that go first, for a request that could not be served in time behind the others either.
  it('should refuse none to make room for a request that would be late all the same', () => {
    const queue = new AdmissionQueue<WaitingRequest & { readonly id: string }>()
    const base = { priority: 0, isInProgress: true, isWithinShare: true, isWorthwhile: true, since: 0 }
    for (let at = 0; at < 20; at++) queue.add({ ...base, id: `due ${at}`, dueAt: 50, until: 3_000, workMs: 200 })
    queue.add({ ...base, id: 'small', until: 300, workMs: 50 })
    expect([20, 40, 60].flatMap(now => queue.takeRefused(now, 20).map(({ req }) => req.id))).toEqual(['small'])
  })

  it('should never refuse a more urgent request or one in progress to make room', () => {
    const queue = new AdmissionQueue<WaitingRequest & { readonly id: string }>()
    const base = { priority: 1, isInProgress: true, isWithinShare: true, isWorthwhile: true, since: 0, until: 150, workMs: 100 }
    queue.add({ ...base, id: 'urgent', priority: 0, workMs: 1_000 })
    queue.add({ ...base, id: 'in progress', workMs: 1_000 })
    queue.add({ ...base, id: 'new and small', isInProgress: false, workMs: 10 })
    expect(queue.takeRefused(1, 10).map(({ req }) => req.id)).toEqual(['in progress', 'new and small'])
  })
})

describe('RouteWork', () => {
  it('should learn the work of a route, and scale it by the longest response within bounds', () => {
    const work = new RouteWork()
    for (let at = 0; at < 4; at++) work.record('turns', 100, 1_000)
    expect([work.getMs('turns', 100), work.getLeastMs('turns')]).toEqual([undefined, 0])
    work.record('turns', 100, 500)
    expect([100, 200, 0, 1e9].map(tokens => work.getMs('turns', tokens))).toEqual([950, 1_900, 237.5, 3_800])
    expect([work.getLeastMs('turns'), work.getMs('lookup', 0)]).toEqual([0, undefined])
  })

  // Requests that were faster than the first five of their route were refused at once, as if they surely came too late.
  it('should tell the least time of a route only once hardly any request is faster', () => {
    const work = new RouteWork()
    const times = Array.from({ length: 99 }, (_, at) => 1_000 - at)
    for (const tookMs of times) work.record('turns', 100, tookMs)
    expect(work.getLeastMs('turns')).toEqual(0)
    work.record('turns', 100, 2_000)
    expect(work.getLeastMs('turns')).toEqual(902)
    work.record('turns', 100, 10)
    expect(work.getLeastMs('turns')).toEqual(10)
  })
})
