import { InstanceRole, type Instance } from '../platform/index.js'
import { rankByRendezvous } from './RendezvousHash.js'

/** Largest number of targets of which each entry watches all. */
export const MAX_WATCHED = 64

/** Number of entries that watch each target of a larger fleet. */
export const WATCHERS_PER_TARGET = 2

/** Largest number of heartbeats that an entry sends per second. */
export const HEARTBEATS_PER_SECOND = 14

/** Shortest interval between two heartbeats to a sidecar, in milliseconds. */
export const MIN_HEARTBEAT_MS = 1_000

/** Options of {@link selectWatched}: id and failure domain of the watching entry. */
export interface WatchOptions {
  readonly entry: string
  readonly failureDomain: string
}

/**
 * Selects the targets that an entry sends heartbeats to.
 *
 * @remarks In a small fleet every entry watches all targets. In a large one each target is watched by two entries of its
 * failure domain, selected by rendezvous hashing, so that every target is watched and a change of the fleet reassigns few of
 * them. Targets of a failure domain without entries are distributed among all entries.
 */
export function selectWatched (instances: readonly Instance[], options: WatchOptions): Instance[] {
  const targets = instances.filter(instance => instance.role === InstanceRole.Target)
  if (targets.length <= MAX_WATCHED) return targets
  const entries = instances.filter(instance => instance.role === InstanceRole.Entry)
  const byDomain = groupByDomain(entries)
  const allEntries = withSelf(entries.map(entry => entry.id), options.entry)
  return targets.filter(target => {
    const domainEntries = byDomain.get(target.failureDomain) ?? []
    const isLocal = target.failureDomain === options.failureDomain
    if (!isLocal && domainEntries.length > 0) return false
    const watchers = rankByRendezvous(target.id, isLocal ? withSelf(domainEntries, options.entry) : allEntries)
    return watchers.slice(0, WATCHERS_PER_TARGET).includes(options.entry)
  })
}

/** Gets the interval between two heartbeats to the same target, in milliseconds, for a number of watched targets. */
export function getHeartbeatMs (watched: number): number {
  return Math.max(MIN_HEARTBEAT_MS, watched * 1_000 / HEARTBEATS_PER_SECOND)
}

function groupByDomain (entries: readonly Instance[]): Map<string, string[]> {
  const groups = new Map<string, string[]>()
  for (const entry of entries) groups.set(entry.failureDomain, [...groups.get(entry.failureDomain) ?? [], entry.id])
  return groups
}

/** Adds an entry to a list of ids; the instance list may not contain the local entry yet. */
function withSelf (ids: readonly string[], self: string): string[] {
  return ids.includes(self) ? [...ids] : [...ids, self]
}
