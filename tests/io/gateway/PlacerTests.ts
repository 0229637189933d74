import { expect } from 'earl'
import type { CallRequest } from '../../../src/core/forward/index.js'
import type { Route } from '../../../src/core/route/index.js'
import { CostPlacement, RoundRobin, TargetRegistry, type Target, type TargetState } from '../../../src/core/target/index.js'
import { Placer, VersionGate } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'

const CALL = { id: 'r', promptTokens: 0, promptSegments: [] } as unknown as CallRequest
const ROUTE = { backends: [{ service: 's', weight: 1 }], isResumable: false } as unknown as Route
const CLOCK = { now: () => 1_100 }

// A target that is leaving and still serves was not used while any other was listed, though none of these could be used.
describe('Placer', () => {
  let registry: TargetRegistry

  beforeEach(() => {
    registry = new TargetRegistry({ drainMs: 2_500 })
    registry.setAll([createTarget('leaving', 'v1'), createTarget('other', 'v2')], 0)
    registry.recordLeaving('leaving@1', 1_000)
  })

  it('should use a leaving target that still serves when the only other one has refused the request', () => {
    const placer = new Placer({ registry, policy: new RoundRobin(), clock: CLOCK })
    expect(placer.place(CALL, ROUTE)?.state.incarnation).toEqual('other@1')
    expect(placer.place(CALL, ROUTE, { excluded: new Set(['other@1']) })?.state.incarnation).toEqual('leaving@1')
  })

  it('should use a leaving target that still serves when the version of the only other one is not stored', () => {
    const log = new DecisionLog({ process: 'test', id: 'test', isSilent: true, onDropped: () => {} })
    const gate = new VersionGate({ versions: { isStored: origin => origin.softwareVersion === 'v1' }, isListCurrent: () => true, log })
    const isVersionKnown: VersionGate['isKnown'] = (target, stream) => gate.isKnown(target, stream)
    const placer = new Placer({ registry, policy: new RoundRobin(), clock: CLOCK, isVersionKnown })
    expect(placer.place(CALL, { ...ROUTE, isResumable: true })?.state.incarnation).toEqual('leaving@1')
  })

  // Without the longest response, a turn would count as fitting into an engine that its response fills.
  it('should count the prompt and the longest response of a request against the memory of targets', () => {
    const registry = new TargetRegistry({ getMemoryTokens: () => 7_000 })
    registry.setAll([createTarget('small', 'v1'), createTarget('other', 'v1')], 0)
    const find = (id: string): TargetState => registry.getServing('s', 0).find(({ target }) => target.id === id)!
    find('small').recordStart(0, CLOCK.now(), 2_000)
    find('other').recordResponse(400, CLOCK.now())
    const placer = new Placer({ registry, policy: new CostPlacement({ failureDomain: 'a', regions: {}, random: () => 0 }), clock: CLOCK })
    const place = (maxOutputTokens: number): string | undefined =>
      placer.place({ ...CALL, promptTokens: 3_000, maxOutputTokens }, ROUTE)?.state.target.id
    expect([place(1_000), place(3_000)]).toEqual(['small', 'other'])
  })
})

function createTarget (id: string, softwareVersion: string): Target {
  return { id, bornAt: 1, service: 's', softwareVersion, address: '127.0.0.1:1', failureDomain: 'a', isLeaving: false, slots: 4 }
}
