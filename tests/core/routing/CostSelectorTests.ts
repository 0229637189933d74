import { expect } from 'earl'
import type { SelectionRequest } from '../../../src/core/call/index.js'
import { WorkspaceShares } from '../../../src/core/limits/index.js'
import { CostSelector, TargetDirectory } from '../../../src/core/routing/index.js'
import type { LoadSample } from '../../../src/core/sidecar/index.js'

const IDLE: LoadSample = {
  incarnation: 'i', isLeaving: false, configVersion: 1, slots: 4, running: 0, queued: 0, queuedTokens: 0, msPerToken: 20, runMs: 1_000
}
const FULL: LoadSample = { ...IDLE, running: 4, queued: 100 }

const REQUEST: SelectionRequest = {
  service: 's',
  workspace: 'w',
  affinityKey: 'k',
  warmTargets: [],
  promptTokens: 1_000,
  maxTokens: 100,
  isInProgress: false,
  deadline: 20_000,
  excluded: new Set()
}

type Loads = Readonly<Record<string, LoadSample>>

describe('CostSelector', () => {
  /** Selects among targets a, b and far, which is in another region; returns the target or the reason of a refusal. */
  function doTest (loads: Loads, req: Partial<SelectionRequest>, expected: string, shares?: WorkspaceShares): void {
    const directory = new TargetDirectory()
    directory.setInstances(Object.keys(loads).map(id => ({
      id, role: 'target', service: 's', region: id === 'far' ? 'west' : 'zentral', failureDomain: 'd', url: id, state: 'live'
    })))
    for (const [id, load] of Object.entries(loads)) directory.recordLoad(id, load, 0)
    const selector = new CostSelector({ directory, region: 'zentral', failureDomain: 'd', ...(shares === undefined ? {} : { shares }) })
    const selected = selector.select({ ...REQUEST, ...req }, 0)
    expect(selected.caseOf<string>({ Left: refusal => refusal.reason, Right: target => target.id })).toEqual(expected)
  }

  it('should select the target that has the prefix cached', () => { doTest({ a: IDLE, b: IDLE }, { warmTargets: ['b'] }, 'b') })
  it('should prefer the latest target of a session', () => { doTest({ a: IDLE, b: IDLE }, { warmTargets: ['a', 'b'] }, 'b') })
  it('should prefer a shorter wait to a cached prefix', () => { doTest({ a: IDLE, b: FULL }, { warmTargets: ['b'] }, 'a') })
  it('should prefer a target of its own region', () => { doTest({ a: IDLE, far: IDLE }, {}, 'a') })
  it('should select a target of another region when the shorter wait outweighs the link', () => {
    doTest({ a: FULL, far: IDLE }, { isInProgress: true }, 'far')
  })
  it('should avoid a target that is slower than the others of its service', () => {
    doTest({ a: { ...IDLE, msPerToken: 100 }, b: IDLE, c: IDLE }, { warmTargets: ['a'] }, 'b')
  })
  it('should skip excluded targets', () => { doTest({ a: IDLE, b: IDLE }, { excluded: new Set(['a']) }, 'b') })
  it('should refuse a request without a usable target', () => { doTest({}, {}, 'no-target') })
  it('should refuse a request that cannot complete by its deadline', () => {
    doTest({ a: FULL }, { isInProgress: true, deadline: 5_000 }, 'overloaded')
  })
  it('should refuse new sessions before sessions in progress', () => {
    const busy = { ...IDLE, running: 4, queued: 20 }
    doTest({ a: busy }, {}, 'overloaded')
    doTest({ a: busy }, { isInProgress: true }, 'a')
  })

  it('should refuse new sessions of a workspace that uses more than its share', () => {
    const shares = new WorkspaceShares(() => 1)
    for (let index = 0; index < 9; index++) shares.add('w')
    shares.add('other')
    const busy = { ...IDLE, running: 4, queued: 1 }
    doTest({ a: busy }, {}, 'share-exceeded', shares)
    doTest({ a: busy }, { workspace: 'other' }, 'a', shares)
  })
})
