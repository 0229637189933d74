import type { Instance } from '../platform/index.js'
import { rankByRendezvous } from './RendezvousHash.js'

/** Targets of one service that one entry watches. */
export const DEFAULT_WATCHED_PER_SERVICE = 64

/** Options of {@link selectWatched}. */
export interface WatchOptions {
  readonly entry: string
  readonly region: string
  readonly failureDomain: string
  readonly perService?: number
}

/**
 * Selects the targets that an entry sends heartbeats to: those of its own failure domain first, then of its region,
 * then of other regions; within each, a subset that depends on the entry's id only.
 */
export function selectWatched (targets: readonly Instance[], options: WatchOptions): Instance[] {
  const services = [...new Set(targets.map(target => target.service ?? ''))].sort()
  return services.flatMap(service => selectOfService(targets.filter(target => target.service === service), options))
}

function selectOfService (targets: readonly Instance[], options: WatchOptions): Instance[] {
  const limit = options.perService ?? DEFAULT_WATCHED_PER_SERVICE
  const byId = new Map(targets.map(target => [target.id, target]))
  const ranked = rankByRendezvous(options.entry, [...byId.keys()]).map(id => byId.get(id)!)
  const distance = (target: Instance): number => {
    if (target.failureDomain === options.failureDomain) return 0
    return target.region === options.region ? 1 : 2
  }
  return ranked
    .map((target, rank) => ({ target, rank }))
    .sort((a, b) => distance(a.target) - distance(b.target) || a.rank - b.rank)
    .slice(0, limit)
    .map(entry => entry.target)
}
