import { expect } from 'earl'
import type { Instance } from '../../../src/core/platform/index.js'
import { getHeartbeatMs, selectWatched, WATCHERS_PER_TARGET } from '../../../src/core/routing/index.js'

/** Size of the fleet that the users plan for. */
const ENTRIES = 420
const TARGETS = 12_000
const DOMAINS = 18
/** Milliseconds within which heartbeats distribute a configuration change to all targets. */
const CONFIG_LIMIT_MS = 8_000

function createInstances (role: Instance['role'], count: number, domains = DOMAINS): Instance[] {
  return [...Array(count).keys()].map(index => ({
    id: `${role}-${index}`, role, service: 's', region: 'r', failureDomain: `d-${index % domains}`, url: '', state: 'live'
  }))
}

describe('selectWatched', () => {
  function getIds (instances: readonly Instance[], entry: Instance): string[] {
    return selectWatched(instances, { entry: entry.id, failureDomain: entry.failureDomain }).map(target => target.id)
  }

  it('should watch all targets of a small fleet', () => {
    const instances = [...createInstances('entry', 2), ...createInstances('target', 24)]
    expect(getIds(instances, instances[0]!).length).toEqual(24)
  })

  it('should watch every target of a large fleet, and not too many at any entry', () => {
    const entries = createInstances('entry', ENTRIES)
    const domainEntries = entries.filter(entry => entry.failureDomain === 'd-0')
    const instances = [...entries, ...createInstances('target', TARGETS)]
    const watched = domainEntries.map(entry => getIds(instances, entry))
    const counts = new Map<string, number>()
    for (const id of watched.flat()) counts.set(id, (counts.get(id) ?? 0) + 1)
    expect(counts.size).toEqual(Math.ceil(TARGETS / DOMAINS))
    expect(new Set(counts.values())).toEqual(new Set([WATCHERS_PER_TARGET]))
    expect(Math.max(...watched.map(ids => getHeartbeatMs(ids.length))) < CONFIG_LIMIT_MS).toEqual(true)
  })

  it('should reassign few targets when an entry is removed', () => {
    const entries = createInstances('entry', 20, 1)
    const targets = createInstances('target', 600, 1)
    const before = getIds([...entries, ...targets], entries[0]!)
    const after = getIds([...entries.slice(0, 19), ...targets], entries[0]!)
    expect(before.filter(id => !after.includes(id))).toEqual([])
    expect(after.length - before.length < 20).toEqual(true)
  })

  it('should distribute the targets of a failure domain without entries among all entries', () => {
    const entries = createInstances('entry', 4, 1)
    const targets = createInstances('target', 100, 2)
    const watched = entries.map(entry => getIds([...entries, ...targets], entry))
    expect(new Set(watched.flat()).size).toEqual(100)
  })
})
