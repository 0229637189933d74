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

  describe('with a target that is gone', () => {
    let ends: string[]
    let registry: TargetRegistry

    beforeEach(() => {
      ends = []
      registry = new TargetRegistry({
        // BUDGET: an end that was reported while the target was still found did not count.
        onEnded: ({ incarnation }, cause) => { ends.push(`${incarnation} ${registry.find(incarnation) === undefined ? '' : 'found, '}${cause}`) }
      })
      registry.set(target)
    })

    it('should report the removal of its row, once', () => {
      registry.remove('i-1', 0)
      registry.setAll([], 1)
      expect(ends).toEqual(['i-1@5 removed'])
    })

    it('should report that another incarnation has its id', () => {
      registry.set({ ...target, bornAt: 6 })
      expect(ends).toEqual(['i-1@5 replaced'])
    })

    it('should not report one that was leaving', () => {
      registry.set({ ...target, isLeaving: true })
      registry.remove('i-1', 0)
      expect(ends).toEqual([])
    })

    it('should not report one that was leaving and whose start time is unknown', () => {
      const unknown = { ...target, id: 'i-2', bornAt: 0 }
      registry.set({ ...unknown, isLeaving: true })
      registry.remove('i-2', 0)
      registry.set({ ...unknown, isLeaving: true })
      registry.set({ ...unknown, bornAt: 7 })
      expect(ends).toEqual([])
    })

    it('should not report one whose row was removed during an outage of the store', () => {
      registry.recordStoreUnavailable()
      registry.remove('i-1', 0)
      registry.recordStoreAvailable(1)
      registry.setAll([], 2)
      expect(registry.getServing('model', 2 + REREGISTER_MS)).toEqual([])
      expect(ends).toEqual([])
    })
  })

  describe('with a target that states that it is leaving', () => {
    const INCARNATION = 'i-1@5'
    const DRAIN_MS = 2_500
    const getDraining = (registry: TargetRegistry, now: number): string[] => registry.getDraining('model', now).map(state => state.target.id)
    let registry: TargetRegistry

    beforeEach(() => {
      registry = new TargetRegistry({ drainMs: DRAIN_MS })
      registry.set(target)
      expect(registry.recordLeaving(INCARNATION, 100)).toEqual(true)
    })

    it('should not return it as serving, and report the news once', () => {
      expect(getIds(registry, 100)).toEqual([])
      expect(registry.recordLeaving(INCARNATION, 200)).toEqual(false)
    })

    it('should keep the notice through rows, a complete list and an outage', () => {
      registry.set({ ...target, slots: 9 })
      registry.setAll([target], 200)
      registry.recordStoreUnavailable()
      registry.setAll([], 300)
      registry.recordStoreAvailable(400)
      registry.set(target)
      expect(getIds(registry, 500)).toEqual([])
    })

    it('should keep the notice while the target is not listed, and know it before the target is', () => {
      registry.remove('i-1', 200)
      registry.set(target)
      registry.recordLeaving('i-2@7', 300)
      registry.set({ ...target, id: 'i-2', bornAt: 7 })
      expect(getIds(registry, 400)).toEqual([])
    })

    it('should return a new incarnation under the same id', () => {
      registry.set({ ...target, bornAt: 6 })
      expect(getIds(registry, 200)).toEqual(['i-1'])
      registry.recordLeaving(INCARNATION, 300)
      expect(getIds(registry, 300)).toEqual(['i-1'])
    })

    it('should return it as draining until a request could arrive after it has drained', () => {
      expect(getDraining(registry, 100)).toEqual(['i-1'])
      expect(getDraining(registry, 100 + DRAIN_MS - 601)).toEqual(['i-1'])
      expect(getDraining(registry, 100 + DRAIN_MS - 600)).toEqual([])
      registry.recordLeaving(INCARNATION, 2_000)
      expect(getDraining(registry, 100 + DRAIN_MS)).toEqual([])
    })

    it('should forget the notice of a target whose start time is unknown when its row is removed', () => {
      registry.set({ ...target, id: 'i-3', bornAt: 0 })
      registry.recordLeaving('i-3@0', 100)
      registry.remove('i-3', 200)
      registry.set({ ...target, id: 'i-3', bornAt: 0 })
      expect(getIds(registry, 300)).toEqual(['i-3'])
    })
  })

  it('should count a row that says draining from the time after which it was changed, and let the row take it back', () => {
    const registry = new TargetRegistry({ drainMs: 2_500 })
    registry.set(target)
    registry.set({ ...target, isLeaving: true }, 100)
    expect(registry.getDraining('model', 1_999).length).toEqual(1)
    expect(registry.getDraining('model', 2_000).length).toEqual(0)
    registry.set(target, 1_000)
    expect(getIds(registry, 1_000)).toEqual(['i-1'])
  })

  it('should not return as draining a target whose row was changed at an unknown time', () => {
    const registry = new TargetRegistry({ drainMs: 2_500 })
    registry.set({ ...target, isLeaving: true })
    expect(registry.getDraining('model', 0)).toEqual([])
  })
})
