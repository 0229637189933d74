import type { RouteConfig } from '../route/index.js'

/** Lowest urgency that a target accepts in a request's priority; 0 is the highest. */
export const LOWEST_TARGET_PRIORITY = 9

/** Numbers that a target distinguishes. */
const NUMBERS = LOWEST_TARGET_PRIORITY + 1

/** Numbers for the requests of one priority at the targets of a service. */
export interface PriorityBand {
  /** The most urgent number. */
  readonly first: number
  /** Count of numbers, at least 1. */
  readonly count: number
}

/**
 * Divides the numbers that targets accept among the priorities that occur at each service.
 *
 * Routes mostly have few priorities, often 0, 1 and 2. Each gets numbers of its own, so that no request goes before a more urgent kind;
 * only beyond ten priorities of one service do neighbouring ones share a number.
 */
export class PriorityBands {
  private readonly _priorities = new Map<string, readonly number[]>()

  /** @param workspacePriorities - Priorities of workspaces, which may occur at every service. */
  constructor (config: RouteConfig, workspacePriorities: readonly number[] = []) {
    const used = new Map<string, Set<number>>()
    for (const { backends, priority } of config.routes) {
      for (const { service } of backends) used.set(service, (used.get(service) ?? new Set(workspacePriorities)).add(priority))
    }
    for (const [service, priorities] of used) this._priorities.set(service, [...priorities].sort((a, b) => a - b))
  }

  /** Gets the numbers for a priority at a service; one that the configuration lacks shares those of the next more urgent one. */
  get (service: string, priority: number): PriorityBand {
    const priorities = this._priorities.get(service) ?? [priority]
    const rank = Math.max(0, priorities.filter(other => other <= priority).length - 1)
    const first = Math.floor(rank * NUMBERS / priorities.length)
    const next = Math.floor((rank + 1) * NUMBERS / priorities.length)
    return { first, count: Math.max(1, next - first) }
  }
}
