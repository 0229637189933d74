import type { Route } from './Route.js'

/** What the configuration says of a service. */
export interface ServiceConfig {
  readonly name: string
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number
  /** True for models, which cache the prompts that they read. */
  readonly isModel: boolean
  /** Tokens that each event of a stream stands for; 1 for plain services. */
  readonly tokensPerEvent: number
}

/** Bounds on what callers may send. */
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
}
