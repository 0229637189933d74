import { expect } from 'earl'
import fc from 'fast-check'
import type { VersionedQuota } from '../../../src/core/quota/index.js'
import { QuotaWorld } from './QuotaWorld.js'

/** Virtual milliseconds of one run, after all gateways have started. */
const RUN_MS = 25_000
const START_MS = 5_000

/** What the bound of the quotas allows beyond them. */
const TOLERANCE = { windowMs: 5_000, overshoot: 0.1, slack: 20 }

const FAULT = fc.record({
  at: fc.integer({ min: 0, max: START_MS + RUN_MS }),
  gateway: fc.nat(11),
  ms: fc.integer({ min: 50, max: 12_000 }),
  kind: fc.constantFrom('freeze', 'suspend', 'restart', 'cut-store', 'cut-peers', 'add')
})

const CASE = fc.record({
  seed: fc.integer(),
  gateways: fc.integer({ min: 1, max: 12 }),
  perSecond: fc.constantFrom(2, 8, 40, 120),
  burst: fc.constantFrom(0, 1, 10, 100),
  factor: fc.constantFrom(2, 7),
  faults: fc.array(FAULT, { maxLength: 10 }),
  change: fc.constantFrom(undefined, 0.25, 3),
  isTolerant: fc.boolean(),
  inProgressShare: fc.constantFrom(0, 0.5, 1)
})

/**
 * Loads as shares of the quota's rate, with the accepted share of requests that wait for more than 50 ms.
 *
 * A small workspace waits longer, because two of its holders are in the other region and each has few tokens.
 */
const STEADY_LOADS = {
  'a large workspace': { gateways: 37, perSecond: 200, burst: 200, share: 0.6, requests: 4_000, slow: 0.05 },
  'a middle one': { gateways: 37, perSecond: 30, burst: 30, share: 0.6, requests: 4_000, slow: 0.05 },
  'a small one': { gateways: 37, perSecond: 5, burst: 5, share: 0.6, requests: 4_000, slow: 0.08 },
  'a small one without a burst': { gateways: 37, perSecond: 5, burst: 0, share: 0.6, requests: 4_000, slow: 0.08 },
  'a workspace near its quota': { gateways: 37, perSecond: 200, burst: 200, share: 0.85, requests: 10_000, slow: 0.2 },
  'one holder of four is gone': { gateways: 37, perSecond: 200, burst: 200, share: 0.6, requests: 10_000, slow: 0.2, gone: 1 },
  'all gateways restart': { gateways: 37, perSecond: 40, burst: 40, share: 0.6, requests: 4_000, slow: 0.1, restarts: 1 },
  'a small one whose programs send three requests at once': {
    gateways: 37, perSecond: 5, burst: 20, share: 0.6, requests: 4_000, slow: 0.2, atOnce: 3
  },
  'two gateways': { gateways: 2, perSecond: 50, burst: 10, share: 0.6, requests: 4_000, slow: 0.05 }
} as const

describe('Promises of request quotas', () => {
  // Frozen gateways used old tokens, restarted holders lent a full burst, and several gateways held the same share.
  it('should never admit more requests than the bound, whatever fails', async function () {
    this.timeout(300_000)
    await fc.assert(fc.asyncProperty(CASE, async drawn => {
      const quota = { perSecond: drawn.perSecond, burst: drawn.burst }
      const world = new QuotaWorld(drawn.seed, undefined, drawn.isTolerant ? TOLERANCE : undefined)
      const end = START_MS + RUN_MS
      let config: VersionedQuota = { version: 1, quota }
      const addGateway = (): void => {
        const gateway = world.add(config)
        world.load(gateway, () => drawn.perSecond * drawn.factor / world.gateways.length, end, 1, drawn.inProgressShare)
      }
      for (let index = 0; index < drawn.gateways; index++) world.at(world.random() * START_MS, addGateway)
      await world.runUntil(START_MS)
      const changedAt = START_MS + 8_000
      const factor = drawn.change ?? 1
      const changed = { perSecond: quota.perSecond * factor, burst: quota.burst * factor }
      world.at(changedAt, () => {
        if (drawn.change === undefined) return
        config = { version: 2, quota: changed }
        for (const gateway of world.gateways) world.at(world.now + world.random() * 4_000, () => { gateway.config = config })
      })
      for (const { at, gateway: index, ms, kind } of drawn.faults) {
        world.at(Math.max(START_MS, at), () => {
          const gateway = world.gateways[index % world.gateways.length]!
          if (kind === 'freeze' || kind === 'suspend') world.freeze(gateway, ms, kind === 'freeze')
          else if (kind === 'add') addGateway()
          else if (kind === 'restart') world.restart(gateway, 1_000 + ms / 4)
          else {
            const flag = kind === 'cut-store' ? 'isCutFromStore' : 'isCutFromPeers'
            gateway[flag] = true
            world.at(world.now + ms, () => { gateway[flag] = false })
          }
        })
      }
      await world.runUntil(end)
      const [lower, higher] = factor < 1 ? [changed, quota] : [quota, changed]
      expect(world.getExcess(higher)).toBeLessThanOrEqual(0)
      if (factor < 1) expect(world.getExcess(lower, changedAt + 4_400)).toBeLessThanOrEqual(0)
    }), { numRuns: 100 })
  })

  for (const [name, { gateways, perSecond, burst, share, requests, slow, ...rest }] of Object.entries(STEADY_LOADS)) {
    // Requests were refused because the tokens were at other gateways, had expired, or were not lent yet after the start.
    it(`should admit requests below the quota: ${name}`, async function () {
      this.timeout(120_000)
      const world = new QuotaWorld(7, 60)
      const quota = { perSecond, burst }
      for (let index = 0; index < gateways; index++) world.at(world.random() * 1_000, () => { world.add({ version: 1, quota }) })
      await world.runUntil(START_MS)
      for (const id of world.gateways[0]!.holders.getHolders('shop').slice(0, 'gone' in rest ? rest.gone : 0)) {
        world.gateways.find(gateway => gateway.id === id)!.isCutFromPeers = true
      }
      const weights = world.gateways.map(() => world.random() ** 2)
      const sum = weights.reduce((total, weight) => total + weight)
      const end = START_MS + requests / perSecond / share * 1_000
      world.gateways.forEach((gateway, index) => {
        if (!gateway.isCutFromPeers) world.load(gateway, () => perSecond * share * weights[index]! / sum, end, 'atOnce' in rest ? rest.atOnce : 1)
      })
      await world.runUntil((START_MS + end) / 2)
      if ('restarts' in rest) for (const gateway of world.gateways) world.restart(gateway, 1_000)
      await world.runUntil(end + 1_000)
      const { admitted, exceeded, unavailable } = world.counts
      expect((exceeded + unavailable) / (admitted + exceeded + unavailable)).toBeLessThan(0.005)
      const slowShare = world.waits.filter(wait => wait > 50).length / admitted
      expect(slowShare).toBeLessThan(slow)
    })
  }

  // The tolerance was not used, and bursts of programs in progress met empty buckets: up to 3% of the requests were refused.
  it('should admit the requests of programs whose workspace is within its small quota', async function () {
    this.timeout(120_000)
    const lost = []
    for (const perSecond of [5, 8, 17, 99]) {
      const counts = { sent: 0, refusedWithin: 0, calls: 0 }
      for (let seed = 0; seed < 4; seed++) {
        const world = new QuotaWorld(seed, 60, TOLERANCE)
        const quota = { perSecond, burst: perSecond }
        for (let index = 0; index < 37; index++) world.at(world.random() * 1_000, () => { world.add({ version: 1, quota }) })
        await world.runUntil(START_MS)
        const mean = 0.62 * perSecond / world.meanRequestsOfProgram
        world.loadPrograms(() => mean * (1 + 0.27 * Math.sin(world.now / 11_000 * 2 * Math.PI + seed)), START_MS + 60_000)
        await world.runUntil(START_MS + 63_000)
        const { admitted, exceeded, unavailable, refusedWithin, calls } = world.counts
        counts.sent += admitted + exceeded + unavailable
        counts.refusedWithin += refusedWithin
        counts.calls += calls
        expect(world.getExcess(quota)).toBeLessThanOrEqual(0)
      }
      if (counts.refusedWithin / counts.sent >= 0.005 || counts.calls / counts.sent > 2) lost.push({ perSecond, ...counts })
    }
    expect(lost).toEqual([])
  })

  // Gateways asked for tokens without end, tokens expired at gateways that got many, and callers returned together.
  it('should use the whole quota under seven times its rate, with few calls and spread returns', async function () {
    this.timeout(120_000)
    const world = new QuotaWorld(3, 60)
    const quota = { perSecond: 200, burst: 100 }
    for (let index = 0; index < 37; index++) world.add({ version: 1, quota })
    await world.runUntil(START_MS)
    for (const gateway of world.gateways) world.load(gateway, () => quota.perSecond * 7 / 37, START_MS + 10_000)
    await world.runUntil(START_MS + 11_000)
    expect(world.counts.admitted).toBeGreaterThan(quota.perSecond * 9)
    expect(world.getExcess(quota)).toBeLessThanOrEqual(0)
    expect(world.counts.calls).toBeLessThan(world.counts.exceeded)
  })
})
