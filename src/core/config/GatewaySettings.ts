import { z } from 'zod'
import type { ReplaceableFormat } from './decodeReplacing.js'

/** A port may be rendered as a whole number that is written with a point. */
const address = z.string().regex(/^[^:]+:[0-9]+(\.0+)?$/, 'host:port').transform(text => text.replace(/\.0+$/, ''))
const name = z.string().min(1)

/** Transactions per second that a store is assumed to accept if the settings state no rate; less than any of the users' stores accepts. */
export const DEFAULT_WRITES_PER_SECOND = 500

/** Largest size of a row value, in bytes, that a store is assumed to accept if the settings state none; the users' stores accept more. */
const DEFAULT_ROW_BYTES = 16_384

/** Seconds until a stopping process is killed if the settings state none; requests that are accepted after the signal can still end. */
const DEFAULT_GRACE_S = 5

/** Failure domain of a gateway whose settings state none; it counts as one without other gateways or targets. */
const UNKNOWN_DOMAIN = 'unknown'

/** Fewest descriptors with which a gateway serves: its files, the store, peers and some callers and targets. */
const MIN_FDS = 128

/** Time until a stopping process is killed; one of the two is stated. */
export interface RawGracePeriod {
  readonly grace_s?: number | undefined
  readonly grace_ms?: number | undefined
}

/** Gets the milliseconds after the stop signal at which the process is killed. */
export function getGraceMs ({ grace_s: seconds, grace_ms: ms }: RawGracePeriod): number {
  return seconds === undefined ? ms! : seconds * 1_000
}

/** Placement policies; all except `cost` serve as baselines for measurements. */
export const PlacementKind = { Cost: 'cost', LeastOutstanding: 'least-outstanding', RoundRobin: 'round-robin' } as const
export type PlacementKind = typeof PlacementKind[keyof typeof PlacementKind]

/** Schema of the settings file of a gateway. */
export const GATEWAY_SETTINGS = z.strictObject({
  id: name,
  failure_domain: name,
  /** Region of each failure domain. */
  regions: z.record(name, name),
  /** Metrics are not served without their address. */
  listen: z.strictObject({ callers: address, readiness: address, metrics: address.optional(), peers: address }),
  store: z.strictObject({
    address,
    /** Maximum size of a row value, in bytes of base64. */
    row_bytes: z.number().min(1_024),
    /** Transactions per second that the store accepts from all gateways together. */
    writes_per_second: z.number().positive().default(DEFAULT_WRITES_PER_SECOND)
  }),
  stop: z.strictObject({
    /** Seconds after the stop signal at which the process is killed. */
    grace_s: z.number().min(0).optional(),
    /** The same in milliseconds, instead of seconds. */
    grace_ms: z.number().min(0).optional()
  }).refine(stop => (stop.grace_s === undefined) !== (stop.grace_ms === undefined), 'either grace_s or grace_ms'),
  targets: z.strictObject({
    /** Milliseconds for which a target goes on serving after it has announced that it is leaving. */
    drain_ms: z.number().min(0)
  }).default({ drain_ms: 0 }),
  limits: z.strictObject({
    /** Memory of the machine, in units of 1,000,000 bytes; without it, what the process may hold follows from its heap limit alone. */
    memory_mb: z.number().positive().optional(),
    /** Descriptors that the process may open; without it, the limit that the operating system states. */
    max_fds: z.number().min(MIN_FDS).optional()
  }).default({}),
  overload: z.strictObject({
    /** True if requests to model engines state their urgency, by which engines order their queues. */
    target_priorities: z.boolean().default(true),
    /** True if requests wait at the gateway, in order of urgency, while targets refuse requests for lack of capacity. */
    admission: z.boolean().default(true)
  }).prefault({}),
  quotas: z.strictObject({
    /** Seconds of the sliding window in which the requests of a workspace are counted. */
    window_s: z.number().positive(),
    /** Part by which rate and burst may be exceeded in a window. */
    overshoot: z.number().min(0).default(0),
    /** Requests by which a quota may be exceeded in a window. */
    slack: z.number().min(0).default(0)
  }).optional(),
  placement: z.enum(Object.values(PlacementKind)).default(PlacementKind.Cost)
}).transform(raw => ({
  id: raw.id,
  failureDomain: raw.failure_domain,
  regions: raw.regions,
  listen: raw.listen,
  store: { address: raw.store.address, rowBytes: Math.floor(raw.store.row_bytes), writesPerSecond: raw.store.writes_per_second },
  graceMs: getGraceMs(raw.stop),
  drainMs: raw.targets.drain_ms,
  limits: { memoryMb: raw.limits.memory_mb, maxFds: raw.limits.max_fds === undefined ? undefined : Math.floor(raw.limits.max_fds) },
  overload: { targetPriorities: raw.overload.target_priorities, admission: raw.overload.admission },
  /** Undefined if the deployment tolerates no excess. */
  quotaTolerance: raw.quotas === undefined
    ? undefined
    : { windowMs: raw.quotas.window_s * 1_000, overshoot: raw.quotas.overshoot, slack: raw.quotas.slack },
  placement: raw.placement
}))

/** Settings of a gateway. */
export type GatewaySettings = z.output<typeof GATEWAY_SETTINGS>

/** Keys that a gateway can start without; it needs its id and the addresses at which it is reached and reaches the store. */
export const GATEWAY_SETTINGS_FORMAT: ReplaceableFormat<GatewaySettings> = {
  schema: GATEWAY_SETTINGS,
  replacements: {
    failure_domain: UNKNOWN_DOMAIN,
    regions: {},
    'regions.*': undefined,
    'listen.metrics': undefined,
    'store.row_bytes': DEFAULT_ROW_BYTES,
    'store.writes_per_second': undefined,
    stop: { grace_s: DEFAULT_GRACE_S },
    'stop.grace_s': DEFAULT_GRACE_S,
    'stop.grace_ms': DEFAULT_GRACE_S * 1_000,
    targets: undefined,
    'targets.drain_ms': 0,
    limits: undefined,
    'limits.memory_mb': undefined,
    'limits.max_fds': undefined,
    quotas: undefined,
    'quotas.overshoot': undefined,
    'quotas.slack': undefined
  }
}
