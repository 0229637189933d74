import type { Exchange } from './Exchange.js'

/** What admission considers of the workspace of a request. */
export interface RequestWorkspace {
  readonly name: string
  /** Priority that takes precedence over the one of the route; 0 is the highest. */
  readonly priority?: number | undefined
}

/** Gets the workspace of a request; undefined for all requests until exchanges have one. */
export function getRequestWorkspace (_exchange: Exchange): RequestWorkspace | undefined {
  return undefined
}

/** Gets the priority of a request: the one of its workspace, else of its route; 0 is the highest. */
export function getRequestPriority (exchange: Exchange): number {
  return getRequestWorkspace(exchange)?.priority ?? exchange.route.priority
}

/** Gets the priorities that the workspaces of a configuration set; none until configurations have workspaces. */
export function getWorkspacePriorities (): readonly number[] {
  return []
}
