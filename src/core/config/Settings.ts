import { z } from 'zod'

const id = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'letters, digits, dots, underscores and hyphens, at most 63')
const url = z.url({ protocol: /^http$/ })
const secret = z.string().regex(/^(env|file):.+$/, 'env:<variable> or file:<path>')
const keys = z.array(secret).min(1).max(2)

const listen = z.strictObject({
  host: z.string().default('127.0.0.1'),
  /** With 0, the operating system chooses a free port. */
  port: z.int().min(0).max(65_535)
})

const platform = z.strictObject({
  table: url,
  objects: url,
  instances: url,
  timeout_ms: z.int().min(10).default(1_000)
}).transform(raw => ({ table: raw.table, objects: raw.objects, instances: raw.instances, timeoutMs: raw.timeout_ms }))

const limits = z.strictObject({
  body_bytes: z.int().min(1_024).default(1_048_576),
  header_bytes: z.int().min(1_024).default(16_384),
  /** Milliseconds after which the stream of a caller that has stopped reading is closed. */
  stall_ms: z.int().min(100).default(30_000),
  body_timeout_ms: z.int().min(100).default(10_000),
  /** Milliseconds for which a graceful shutdown waits for requests in progress. */
  stop_ms: z.int().min(1_000).default(900_000)
}).transform(raw => ({
  bodyBytes: raw.body_bytes, headerBytes: raw.header_bytes, stallMs: raw.stall_ms, bodyTimeoutMs: raw.body_timeout_ms, stopMs: raw.stop_ms
}))

const identity = { id, region: id, failure_domain: id }

/** Schema of the settings file of an entry. */
export const ENTRY_SETTINGS = z.strictObject({
  ...identity,
  listen,
  platform,
  ticket_keys: keys,
  operator_keys: keys,
  limits: limits.prefault({})
}).transform(raw => ({
  id: raw.id,
  region: raw.region,
  failureDomain: raw.failure_domain,
  listen: raw.listen,
  platform: raw.platform,
  ticketKeys: raw.ticket_keys,
  operatorKeys: raw.operator_keys,
  limits: raw.limits
}))

/** Schema of the settings file of a sidecar. */
export const SIDECAR_SETTINGS = z.strictObject({
  ...identity,
  service: id,
  kind: z.enum(['engine', 'plain']),
  listen,
  /** Base URL of the sidecar's target. */
  target: url,
  ticket_keys: keys,
  slots: z.int().min(1).default(8),
  short_slots: z.int().min(0).default(0),
  max_queued: z.int().min(1).default(256),
  /** True if the target rejects an order with an outdated fencing token. */
  checks_orders: z.boolean().default(false),
  answer_bytes: z.int().min(1_024).default(4_194_304),
  connect_timeout_ms: z.int().min(10).default(1_000),
  limits: limits.prefault({})
}).transform(raw => ({
  id: raw.id,
  region: raw.region,
  failureDomain: raw.failure_domain,
  service: raw.service,
  kind: raw.kind,
  listen: raw.listen,
  target: raw.target,
  ticketKeys: raw.ticket_keys,
  slots: raw.slots,
  shortSlots: raw.short_slots,
  maxQueued: raw.max_queued,
  checksOrders: raw.checks_orders,
  answerBytes: raw.answer_bytes,
  connectTimeoutMs: raw.connect_timeout_ms,
  limits: raw.limits
}))

/** Schema of the settings file of wisteriactl. */
export const CTL_SETTINGS = z.strictObject({
  /** URL of the platform's table service. */
  table: url,
  /** Base URLs of entries, tried in order until one responds. */
  entries: z.array(url).min(1),
  operator_key: secret,
  /** Name under which changes are recorded. */
  operator: id
}).transform(raw => ({ table: raw.table, entries: raw.entries, operatorKey: raw.operator_key, operator: raw.operator }))

/** Settings of wisteriactl. */
export type CtlSettings = z.output<typeof CTL_SETTINGS>
/** Settings of an entry. */
export type EntrySettings = z.output<typeof ENTRY_SETTINGS>
/** Settings of a sidecar. */
export type SidecarSettings = z.output<typeof SIDECAR_SETTINGS>
/** Addresses of the platform's services. */
export type PlatformSettings = EntrySettings['platform']
/** Limits of an HTTP server. */
export type LimitSettings = EntrySettings['limits']
