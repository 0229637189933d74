import { expect } from 'earl'
import { CostPlacement, FailureReports, TargetHealth, TargetState, type PlacementPolicy } from '../../../src/core/target/index.js'

describe('TargetHealth', () => {
  it('should keep a target doubtful that fails every second request', () => {
    const health = new TargetHealth()
    for (let at = 0; at < 5_000; at += 200) {
      if (at % 400 === 0) health.recordFailure(at)
      else health.recordResponse(at)
    }
    expect(health.getScore(5_000)).toBeGreaterThan(0.5)
  })

  it('should count a target as sound some seconds after it has failed, and sooner when it responds', () => {
    const silent = new TargetHealth()
    const responding = new TargetHealth()
    for (const health of [silent, responding]) health.recordFailure(0)
    for (let at = 100; at <= 600; at += 100) responding.recordResponse(at)
    expect([silent.getScore(600) > 0, responding.getScore(600), silent.getScore(10_000)]).toEqual([true, 0, 0])
  })

  it('should not prolong what a gateway knows by older reports of others', () => {
    const health = new TargetHealth()
    expect([health.recordReport(0, 100), health.recordReport(0, 200), health.recordReport(1_000, 1_000)]).toEqual([true, false, true])
  })

  // Targets that went down and up by turns attracted requests that must not be repeated: they failed at once, and so had the least load.
  it('should lose few unrepeatable requests at a target that resets every connection, and return to it after repeatable ones succeed', () => {
    const states = Array.from({ length: 6 }, (_, at) => toState(`t${at}`))
    const policy = createPolicy()
    let lost = 0
    let isDown = true
    const used = new Map<TargetState, number>()
    for (let at = 0; at < 20_000; at += 50) {
      if (at === 6_000) isDown = false
      const isRepeatable = at % 100 === 0
      const req = { promptTokens: 0, promptSegments: [], excluded: new Set<string>(), warmTarget: undefined, isRepeatable }
      const { state } = policy.select(states, req, at)!
      if (isDown && state === states[0]) {
        state.recordFailure(at, false)
        if (!isRepeatable) lost++
        continue
      }
      state.recordResponse(0, at)
      if (at >= 12_000) used.set(state, (used.get(state) ?? 0) + 1)
    }
    expect(lost).toBeLessThan(3)
    expect(used.get(states[0]!) ?? 0).toBeGreaterThan(10)
  })
})

describe('FailureReports', () => {
  it('should notify once several gateways have seen failures, not for one gateway alone', () => {
    const reports = new FailureReports()
    expect([reports.add('t', 'a', 0), reports.add('t', 'a', 100), reports.add('t', 'b', 200), reports.add('t', 'c', 300)])
      .toEqual([false, false, true, false])
    expect([reports.add('t', 'a', 1_300), reports.add('t', 'b', 9_000)]).toEqual([true, false])
  })
})

function createPolicy (): PlacementPolicy {
  let calls = 0
  return new CostPlacement({ failureDomain: 'a', regions: { a: 'r' }, random: () => calls++ % 6 / 6 })
}

function toState (id: string): TargetState {
  return new TargetState({ id, bornAt: 1, service: 's', softwareVersion: 'v1', address: `${id}:1`, failureDomain: 'a', isLeaving: false, slots: 6 })
}
