import { z } from 'zod'

const address = z.string().regex(/^[^:]+:[0-9]+$/, 'host:port')
const name = z.string().min(1)

/** Transactions per second that a store is assumed to accept if the settings state no rate; less than any of the users' stores accepts. */
export const DEFAULT_WRITES_PER_SECOND = 500

/** Fewest descriptors with which a gateway serves: its files, the store, peers and some callers and targets. */
const MIN_FDS = 128

/** Placement policies; all except `cost` serve as baselines for measurements. */
export const PlacementKind = { Cost: 'cost', LeastOutstanding: 'least-outstanding', RoundRobin: 'round-robin' } as const
export type PlacementKind = typeof PlacementKind[keyof typeof PlacementKind]

/** Schema of the settings file of a gateway. */
export const GATEWAY_SETTINGS = z.strictObject({
  id: name,
  failure_domain: name,
  /** Region of each failure domain. */
  regions: z.record(name, name),
  listen: z.strictObject({ callers: address, readiness: address, metrics: address, peers: address }),
  store: z.strictObject({
    address,
    /** Maximum size of a row value, in bytes of base64. */
    row_bytes: z.int().min(1_024),
    /** Transactions per second that the store accepts from all gateways together. */
    writes_per_second: z.number().positive().default(DEFAULT_WRITES_PER_SECOND)
  }),
  stop: z.strictObject({
    /** Milliseconds after the stop signal at which the process is killed. */
    grace_ms: z.number().min(1_000)
  }),
  targets: z.strictObject({
    /** Milliseconds for which a target goes on serving after it has announced that it is leaving. */
    drain_ms: z.number().min(0)
  }).default({ drain_ms: 0 }),
  limits: z.strictObject({
    /** Memory of the machine, in units of 1,000,000 bytes; without it, what the process may hold follows from its heap limit alone. */
    memory_mb: z.number().positive().optional(),
    /** Descriptors that the process may open; without it, the limit that the operating system states. */
    max_fds: z.int().min(MIN_FDS).optional()
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
  store: { address: raw.store.address, rowBytes: raw.store.row_bytes, writesPerSecond: raw.store.writes_per_second },
  graceMs: raw.stop.grace_ms,
  drainMs: raw.targets.drain_ms,
  limits: { memoryMb: raw.limits.memory_mb, maxFds: raw.limits.max_fds },
  overload: { targetPriorities: raw.overload.target_priorities, admission: raw.overload.admission },
  /** Undefined if the deployment tolerates no excess. */
  quotaTolerance: raw.quotas === undefined
    ? undefined
    : { windowMs: raw.quotas.window_s * 1_000, overshoot: raw.quotas.overshoot, slack: raw.quotas.slack },
  placement: raw.placement
}))

/** Settings of a gateway. */
export type GatewaySettings = z.output<typeof GATEWAY_SETTINGS>
