import { expect } from 'earl'
import { ServiceAdmission, type TargetedRequest } from '../../../src/core/admission/index.js'
import { ManualClock } from '../../../src/core/clock/index.js'
import { getServedShare, replay, toLoad, type ReplayedRequest, type ReplayedResult, type ReplayOptions } from './AdmissionReplay.js'

/** Four targets that serve 80 requests a second. */
const SERVICE: ReplayOptions = { targets: ['a', 'b', 'c', 'd'], places: 6, serviceMs: 300 }

/** Requests a second that {@link SERVICE} serves. */
const CAPACITY = 80

/** Loads of three priorities, each half programs in progress. */
const toMixed = (from: number, to: number, perSecond: number): ReplayedRequest[] => [0, 1, 2].flatMap(priority => [true, false].flatMap(
  isInProgress => toLoad(from, to, perSecond / 6, { priority, isInProgress, maxWaitMs: isInProgress ? 2_000 : 800 })
))

const countSends = (results: readonly ReplayedResult[]): number => results.reduce((sum, { sends }) => sum + sends, 0)

describe('ServiceAdmission', () => {
  for (const factor of [2, 4, 7]) {
    // Every request was sent to five full targets and failed, whatever its priority was, while places became free.
    it(`should use the capacity in a burst of ${factor} times of it, by priority and for programs in progress first`, () => {
      const results = replay([...toMixed(0, 3_000, CAPACITY / 2), ...toMixed(3_000, 8_000, CAPACITY * factor)], SERVICE)
      const burst = results.filter(({ at }) => at >= 3_000)
      const served = burst.filter(({ type }) => type === 'served').length
      expect(served).toBeGreaterThan(CAPACITY * 5 * 0.95)
      expect(countSends(burst)).toBeLessThan(served * 3)
      expect(Math.max(...burst.map(({ waitedMs }) => waitedMs)) <= 2_000).toEqual(true)
      const shares = [0, 1, 2].map(priority => getServedShare(burst, result => result.priority === priority))
      expect(shares).toEqual([...shares].sort((a, b) => b - a))
      const running = burst.filter(({ isInProgress }) => isInProgress === true)
      const inProgress = [0, 1, 2].map(priority => getServedShare(running, result => result.priority === priority))
      inProgress.forEach((share, at) => { expect(share >= shares[at]!).toEqual(true) })
      expect(inProgress[0]!).toBeGreaterThan(0.9)
      const refused = burst.filter(({ type }) => type === 'refused')
      expect(refused.every(({ retryMs = 0 }) => retryMs >= 300 && retryMs <= 3_000)).toEqual(true)
    })
  }

  // Gateways with many places at the targets gained more of them, and others refused programs of priority 0 in progress.
  it('should give each of 23 gateways its part of the places, so that the order holds over all', () => {
    const targets = Array.from({ length: 34 }, (_, at) => `target-${at}`)
    const perSecond = 34 * SERVICE.places / SERVICE.serviceMs * 1_000
    const load = [...toMixed(0, 2_000, perSecond / 2), ...toMixed(2_000, 6_000, perSecond * 2)]
    const burst = replay(load, { ...SERVICE, targets, gateways: 23 }).filter(({ at }) => at >= 2_000)
    const served = burst.filter(({ type }) => type === 'served').length
    expect(served).toBeGreaterThan(perSecond * 4 * 0.9)
    expect(countSends(burst)).toBeLessThan(served * 2)
    expect(getServedShare(burst, ({ priority, isInProgress }) => priority === 0 && isInProgress === true)).toBeGreaterThan(0.97)
    const shares = [0, 1, 2].map(priority => getServedShare(burst, result => result.priority === priority))
    expect(shares).toEqual([...shares].sort((a, b) => b - a))
  })

  // Under steady overload the least urgent would wait for good.
  it('should serve some of the least urgent requests while more urgent ones use the whole capacity', () => {
    const urgent = toLoad(0, 10_000, CAPACITY * 1.5, { priority: 0 })
    const results = replay([...urgent, ...toLoad(0, 10_000, 5, { priority: 2 })], SERVICE)
    expect(getServedShare(results, ({ priority }) => priority === 2)).toBeGreaterThan(0.1)
    expect(getServedShare(results, ({ priority }) => priority === 0)).toBeGreaterThan(0.6)
  })

  // The requests of quiet workspaces waited behind those of one that had sent seven times its usual load.
  it('should serve quiet workspaces beside one that sends seven times its usual load, and a part of that one', () => {
    const names = Array.from({ length: 20 }, (_, at) => `quiet-${at}`)
    const load = [
      ...names.flatMap((workspace, at) => toLoad(at * 23, 36_000, 2, { workspace })),
      ...toLoad(0, 30_000, 30, { workspace: 'hot' }), ...toLoad(30_000, 36_000, 210, { workspace: 'hot' })
    ]
    const burst = replay(load, SERVICE).filter(({ at }) => at >= 30_000)
    const all = getServedShare(burst)
    expect(getServedShare(burst, ({ workspace }) => workspace !== 'hot')).toBeGreaterThan(0.85)
    for (const name of names) expect(getServedShare(burst, ({ workspace }) => workspace === name)).toBeGreaterThan(all)
    expect(getServedShare(burst, ({ workspace }) => workspace === 'hot')).toBeGreaterThan(all / 4)
  })

  it('should serve what half of the targets can take after the others are gone, and all of it when they are back', () => {
    const isUp = (target: string, at: number): boolean => at < 2_000 || at > 7_000 || target < 'c'
    const results = replay(toMixed(0, 12_000, CAPACITY * 0.9), { ...SERVICE, isUp })
    const gone = results.filter(({ at }) => at >= 2_000 && at < 7_000)
    expect(gone.filter(({ type }) => type === 'served').length).toBeGreaterThan(CAPACITY / 2 * 5 * 0.9)
    expect(getServedShare(gone, ({ priority, isInProgress }) => priority === 0 && isInProgress === true)).toEqual(1)
    expect(getServedShare(results, ({ at }) => at < 2_000 || at > 9_000)).toEqual(1)
  })

  // A restarted gateway knows no capacity; with two targets' refusals only, it refused programs whose work would be lost.
  it('should serve programs in progress before new ones after a restart of all gateways', () => {
    const returned = { isInProgress: true, maxWaitMs: 2_000 }
    const first = Array.from({ length: 100 }, () => ({ at: 0, ...returned }))
    const fresh = Array.from({ length: 200 }, () => ({ at: 0, isInProgress: false, maxWaitMs: 800 }))
    const results = replay([...fresh, ...first], SERVICE)
    expect(getServedShare(results, ({ isInProgress }) => isInProgress === true)).toBeGreaterThan(0.9)
    expect(getServedShare(results)).toBeGreaterThan(0.4)
  })

  // Measures against overload must not cost anything without it.
  it('should neither delay nor refuse a request of a load that the targets can take, also beside a target that refuses all', () => {
    for (const targets of [SERVICE.targets, ['refuses', ...SERVICE.targets]]) {
      const results = replay(toMixed(0, 10_000, CAPACITY * 0.9), { ...SERVICE, targets, isUp: target => target !== 'refuses' })
      expect(results.filter(({ type, waitedMs }) => type === 'refused' || waitedMs > 0)).toEqual([])
    }
  })

  it('should send a request whose own targets have places, although one before it has none', () => {
    const clock = new ManualClock()
    const service = new ServiceAdmission<TargetedRequest>(clock)
    service.load.recordRefused(service.load.admit(0), 'a', 0, false)
    const base = { priority: 0, isInProgress: true, isWithinShare: true, isWorthwhile: true, since: 0, until: 1_000 }
    const blocked: TargetedRequest = { ...base, getTargets: () => ['a'] }
    const free: TargetedRequest = { ...base, getTargets: () => ['b'] }
    for (const req of [blocked, free]) service.add(req)
    expect(service.step().admitted.map(({ req }) => req)).toEqual([free])
    service.load.recordCompleted('a', 0)
    clock.advanceTo(100)
    expect(service.step().admitted.map(({ req }) => req)).toEqual([blocked])
  })
})
