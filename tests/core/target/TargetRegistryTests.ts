import { expect } from 'earl'
import { REREGISTER_MS, TargetRegistry, type Target } from '../../../src/core/target/index.js'

describe('TargetRegistry', () => {
  const target: Target = { id: 'i-1', bornAt: 5, service: 'model', softwareVersion: 'v1', address: '10.0.0.1:80', failureDomain: 'here', isLeaving: false, slots: 8 }
  const getIds = (registry: TargetRegistry, now: number): string[] => registry.getServing('model', now).map(state => state.target.id)

  it('should not return a target that is draining', () => {
    const registry = new TargetRegistry()
    registry.set(target)
    registry.set({ ...target, isLeaving: true })
    expect(getIds(registry, 0)).toEqual([])
  })

  it('should remove a target whose row is removed', () => {
    const registry = new TargetRegistry()
    registry.set(target)
    registry.remove('i-1', 0)
    expect(getIds(registry, 0)).toEqual([])
  })

  it('should keep a target whose row expired in an outage until the grace period to register again has passed', () => {
    const registry = new TargetRegistry()
    registry.set(target)
    registry.recordStoreUnavailable()
    registry.setAll([], 100)
    registry.recordStoreAvailable(200)
    registry.setAll([], 210)
    expect(getIds(registry, 200 + REREGISTER_MS - 1)).toEqual(['i-1'])
    expect(getIds(registry, 200 + REREGISTER_MS)).toEqual([])
  })

  it('should keep a target that registered again after an outage', () => {
    const registry = new TargetRegistry()
    registry.set(target)
    registry.recordStoreUnavailable()
    registry.remove('i-1', 100)
    registry.recordStoreAvailable(200)
    registry.set(target)
    expect(getIds(registry, 200 + 2 * REREGISTER_MS)).toEqual(['i-1'])
  })

  it('should discard the state of a target that restarted under the same id', () => {
    const registry = new TargetRegistry()
    registry.set(target)
    registry.getServing('model', 0)[0]!.prefixCache.add([{ id: 'p', tokens: 10 }])
    registry.set({ ...target, bornAt: 6 })
    expect(registry.getServing('model', 0)[0]!.prefixCache.getCachedTokens([{ id: 'p', tokens: 10 }])).toEqual(0)
  })
})
