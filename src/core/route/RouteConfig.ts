import type { KeyedWorkspace } from '../workspace/index.js'
import type { Route } from './Route.js'

/** Configuration of a service. */
export interface ServiceConfig {
  readonly name: string
  /** Largest number of connections that one target accepts from all callers together. */
  readonly maxConnections: number
  /** True for models, which cache the prompts that they have prefilled. */
  readonly isModel: boolean
  /** Number of tokens that each event of a stream contains; 1 for plain services. */
  readonly tokensPerEvent: number
  /** Tokens of prompts and responses that a target has memory for; undefined if that is not known. */
  readonly memoryTokens?: number | undefined
  /** Path on which a target responds as soon as it can, whatever its health is. */
  readonly livenessPath: string
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the operator's configuration. */
export interface RouteConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceConfig>
  readonly limits: CallerLimits
  /** Workspaces, one of whose keys every request needs on routes that are not public; undefined where requests need no key. */
  readonly workspaces?: readonly KeyedWorkspace[] | undefined
  /** Members that can't be used, with defaults in their place, and why; nothing without them. */
  readonly replaced?: readonly string[]
}
