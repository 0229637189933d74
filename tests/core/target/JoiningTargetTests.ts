import { expect } from 'earl'
import { CostPlacement, getMedianDelayMs, SlowStart, TargetRegistry, TargetState, type Target } from '../../../src/core/target/index.js'

/** Failure domains by region, two regions of three each. */
const REGIONS = { a: 'home', b: 'home', c: 'home', d: 'away', e: 'away', f: 'away' }
const DOMAINS = Object.keys(REGIONS)

/** Requests that a target runs and queues at once, and the mean milliseconds of one. */
const PLACES = 10
const SLOTS = 6
const SERVICE_MS = 200

/** A load on targets that are known to all gateways from 0 on, and two that join later. */
interface JoiningLoad {
  readonly gateways: number
  readonly targets: number
  /** Share of the capacity. */
  readonly load: number
  readonly forMs: number
  /** Time at which two targets join; none do without it. */
  readonly joinAt?: number
  /** True if gateways know that they joined. */
  readonly isKnown?: boolean
  /** Milliseconds that a request to another region takes in addition at a time. */
  readonly getLinkMs?: (now: number) => number
}

interface Use {
  refusedAtJoined: number
  refusedElsewhere: number
  servedByJoined: number
  /** Requests that were sent to another region, by second. */
  readonly remote: number[]
}

function toTarget (at: number): Target {
  const base = { bornAt: 1, service: 's', softwareVersion: 'v', address: '10.0.0.1:80', isLeaving: false, slots: SLOTS }
  return { ...base, id: `t${at}`, failureDomain: DOMAINS[at % DOMAINS.length]! }
}

function createRandom (): () => number {
  let seed = 7
  return () => (seed = seed * 16_807 % 2_147_483_647) / 2_147_483_647
}

/** Replays requests of several gateways, each of which sees its own requests only. */
function replay ({ gateways, targets, load, forMs, joinAt = Infinity, isKnown = true, getLinkMs = () => 0 }: JoiningLoad): Use {
  const random = createRandom()
  const views = Array.from({ length: gateways }, (_, at) => {
    const registry = new TargetRegistry()
    registry.setAll(Array.from({ length: targets }, (_, at) => toTarget(at)), -10_000)
    const failureDomain = DOMAINS[at % DOMAINS.length]!
    return { registry, failureDomain, policy: new CostPlacement({ failureDomain, regions: REGIONS, random }) }
  })
  const running = new Map<string, Array<{ readonly end: number, readonly finish: () => void }>>()
  const use: Use = { refusedAtJoined: 0, refusedElsewhere: 0, servedByJoined: 0, remote: [] }
  const gapMs = SERVICE_MS / (targets * SLOTS * load)
  let hasJoined = false
  for (let now = 0; now < forMs; now += gapMs) {
    if (!hasJoined && now >= joinAt) {
      hasJoined = true
      for (const { registry } of views) for (const at of [0, 1]) registry.set(toTarget(targets + at), undefined, isKnown ? now : undefined)
    }
    for (const [id, requests] of running) {
      running.set(id, requests.filter(({ end, finish }) => {
        if (end <= now) finish()
        return end > now
      }))
    }
    const { registry, policy, failureDomain } = views[Math.floor(random() * gateways)]!
    const excluded = new Set<string>()
    for (let tries = 0; tries < 5; tries++) {
      const req = { promptTokens: 0, promptSegments: [], excluded, warmTarget: undefined, isRepeatable: true }
      const placement = policy.select(registry.getServing('s', now), req, now)
      if (placement === undefined) break
      const { state, predictedMs } = placement
      const isJoined = Number(state.target.id.slice(1)) >= targets
      const requests = running.get(state.target.id) ?? []
      if (requests.length >= PLACES) {
        if (isJoined) use.refusedAtJoined++
        else use.refusedElsewhere++
        excluded.add(state.incarnation)
        continue
      }
      const isRemote = REGIONS[state.target.failureDomain as 'a'] !== REGIONS[failureDomain as 'a']
      const second = Math.floor(now / 1_000)
      if (isRemote) use.remote[second] = (use.remote[second] ?? 0) + 1
      if (isJoined) use.servedByJoined++
      const startsAt = requests.length < SLOTS ? now : requests.map(({ end }) => end).sort((a, b) => a - b)[requests.length - SLOTS]!
      const end = startsAt + SERVICE_MS * (0.5 + random()) + (isRemote ? getLinkMs(now) : 0)
      const sentAt = now
      state.recordStart(0, now)
      running.set(state.target.id, [...requests, {
        end,
        finish: () => {
          state.recordCompletion(end)
          state.recordResponse(Math.max(0, end - sentAt - predictedMs), end)
        }
      }])
      break
    }
  }
  return use
}

describe('targets that join others', () => {
  // Each of 23 gateways took a target that had joined for the fastest one, since nothing was known of it, and all sent to it at once.
  it('should get requests gradually, whatever the load, and be used as much', () => {
    for (const load of [0.6, 0.9]) {
      const options = { gateways: 23, targets: 34, load, forMs: 6_000, joinAt: 1_000 }
      const before = replay({ ...options, isKnown: false })
      const after = replay(options)
      expect(before.refusedAtJoined).toBeGreaterThan(100)
      expect(after.refusedAtJoined).toBeLessThan(before.refusedAtJoined / 10)
      expect(after.servedByJoined).toBeGreaterThan(before.servedByJoined * 0.9)
    }
  })

  it('should be used as much by a single gateway', () => {
    const options = { gateways: 1, targets: 6, load: 0.9, forMs: 6_000, joinAt: 1_000 }
    expect(replay(options).servedByJoined).toBeGreaterThan(replay({ ...options, isKnown: false }).servedByJoined * 0.8)
  })

  it('should get their whole share at once when most targets of their service are new', () => {
    const registry = new TargetRegistry()
    registry.setAll([toTarget(0), toTarget(1)], 0)
    for (const at of [2, 3, 4]) registry.set(toTarget(at), undefined, 5_000)
    const shares = registry.getServing('s', 5_000).map(state => state.slowStart.getShare(5_000))
    // The third of them still finds as many old ones as new ones; a fourth would not be held back.
    expect(shares).toEqual([1, 1, 0.1, 0.1, 0.1])
    registry.setAll([], 5_000)
    registry.setAll([5, 6, 7].map(toTarget), 5_001)
    expect(registry.getServing('s', 5_001).map(state => state.slowStart.getShare(5_001))).toEqual([1, 1, 1])
  })

  // The first half of the list was held back for the second half, which got all requests at once.
  it('should not be held back when one list replaces all targets of their service, or when the others are leaving', () => {
    const getShares = (registry: TargetRegistry): number[] => registry.getServing('s', 5_000).map(state => state.slowStart.getShare(5_000))
    const ids = [0, 1, 2, 3]
    const replaced = new TargetRegistry()
    replaced.setAll(ids.map(toTarget), 0)
    replaced.setAll(ids.map(at => ({ ...toTarget(at), bornAt: 2 })), 5_000)
    expect(getShares(replaced)).toEqual([1, 1, 1, 1])
    const released = new TargetRegistry()
    released.setAll(ids.map(toTarget), 0)
    for (const at of ids) released.set({ ...toTarget(at), isLeaving: true }, 4_000, 4_000)
    for (const at of ids) released.set(toTarget(4 + at), 5_000, 5_000)
    expect(getShares(released)).toEqual([1, 1, 1, 1])
  })

  // Rows of the others may have expired in the outage; they still serve, so that the new one must not get a burst of requests.
  it('should get requests gradually when they join after an outage of the store, before the others are listed again', () => {
    const registry = new TargetRegistry()
    registry.setAll([0, 1, 2, 3].map(toTarget), 0)
    registry.recordStoreUnavailable()
    registry.recordStoreAvailable(5_000)
    registry.setAll([toTarget(4)], 5_000)
    expect(registry.getServing('s', 5_000).map(state => state.slowStart.getShare(5_000))).toEqual([1, 1, 1, 1, 0.1])
  })

  // The time that a target had stated first went on when its row no longer stated any.
  it('should get their whole share once they no longer state that they are slow', () => {
    const registry = new TargetRegistry()
    registry.set({ ...toTarget(0), coldMs: 60_000 }, 0, 0)
    registry.set(toTarget(0), 2_000, 2_000)
    expect(registry.getServing('s', 2_000)[0]!.slowStart.getShare(2_000)).toEqual(1)
  })

  // Each request was placed among a few of the targets, so that more than half left the gateway's own failure domain while it was idle.
  it('should be placed as others are when all targets of their service are equally slow', () => {
    const registry = new TargetRegistry()
    registry.setAll(DOMAINS.map((_, at) => ({ ...toTarget(at), coldMs: 10_000 })), 0)
    const policy = new CostPlacement({ failureDomain: 'a', regions: REGIONS, random: createRandom() })
    const req = { promptTokens: 0, promptSegments: [], excluded: new Set<string>(), warmTarget: undefined, isRepeatable: true }
    const place = (): string | undefined => policy.select(registry.getServing('s', 1_000), req, 1_000)?.state.target.failureDomain
    expect([...new Set(Array.from({ length: 100 }, place))]).toEqual(['a'])
  })

  // The delay of one slow target must not be assumed for all that join.
  it('should be assumed to respond as late as most others have lately', () => {
    const states = [0, 1, 2].map(at => new TargetState(toTarget(at)))
    expect(getMedianDelayMs(states, 0)).toEqual(undefined)
    for (const state of states) state.recordResponse(100, 0)
    for (let at = 0; at < 10; at++) states[0]!.recordResponse(2_000, 0)
    expect(getMedianDelayMs(states, 0)).toEqual(25)
    expect(getMedianDelayMs(states, 2_001)).toEqual(undefined)
  })

  it('should get a growing share while they state that they are slow, whatever an old row says later', () => {
    const start = new SlowStart()
    start.recordCold(4_000, 0)
    start.recordCold(4_000, 1_000)
    expect([0, 1_000, 2_000, 3_000, 4_000].map(now => start.getShare(now))).toEqual([0.1, 0.25, 0.5, 0.75, 1])
    const huge = new SlowStart()
    huge.recordCold(1e12, 0)
    expect(huge.getShare(60_000)).toEqual(1)
  })
})

describe('targets in another region', () => {
  // A saturated link delays all targets behind it; the delays observed at each are enough to use them less.
  it('should get fewer requests while the link is saturated, without swinging, and more when it is free again', () => {
    const isSaturated = (now: number): boolean => now >= 3_000 && now < 8_000
    const { remote } = replay({ gateways: 4, targets: 36, load: 0.8, forMs: 12_000, getLinkMs: now => isSaturated(now) ? 400 : 0 })
    const [free, saturated, later] = [remote.slice(1, 3), remote.slice(5, 8), remote.slice(10, 12)].map(getMean)
    expect(saturated!).toBeLessThan(free! / 3)
    expect(later!).toBeGreaterThan(free! / 2)
    expect(Math.max(...remote.slice(5, 8))).toBeLessThan(free! / 2)
  })
})

function getMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
