import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, at most 63')
const count = z.int().min(0)
const positive = z.int().min(1)

const region = z.strictObject({
  name,
  failure_domains: z.array(name).min(1)
}).transform(raw => ({ name: raw.name, failureDomains: raw.failure_domains }))

const operation = z.strictObject({
  name,
  /** False for an operation that must run at most once, such as a booking. */
  repeatable: z.boolean(),
  timeout_seconds: z.number().positive().max(600).default(10)
}).transform(raw => ({ name: raw.name, repeatable: raw.repeatable, timeoutSeconds: raw.timeout_seconds }))

const service = z.strictObject({
  name,
  kind: z.enum(['engine', 'plain']),
  /** Model or version that the targets are ordered to load. */
  model: z.string().min(1).optional(),
  /** True if the targets reject an order with an outdated fencing token. */
  checks_orders: z.boolean().default(false),
  /** Maximum number of concurrent requests at one target. */
  slots: positive.default(8),
  /** Number of slots reserved for short requests. */
  short_slots: count.default(0),
  /** Maximum number of queued requests at one target. */
  max_queued: positive.default(256),
  /** Number of targets by failure domain. */
  placement: z.record(name, positive),
  operation: z.array(operation).default([])
}).transform(raw => ({
  name: raw.name,
  kind: raw.kind,
  model: raw.model,
  checksOrders: raw.checks_orders,
  slots: raw.slots,
  shortSlots: raw.short_slots,
  maxQueued: raw.max_queued,
  placement: raw.placement,
  operations: raw.operation
}))

const budget = z.strictObject({
  tokens: positive.max(10_000_000),
  calls: positive.max(10_000),
  seconds: positive.max(30 * 86_400)
})

const program = z.strictObject({
  name,
  /** Engine service that runs the model calls. */
  service: name,
  /** Plain services whose operations the program may call. */
  tools: z.array(name).default([]),
  budget,
  max_tokens_per_call: positive.max(130_000).default(1_024),
  call_timeout_seconds: z.number().positive().max(3_600).default(120),
  /** Maximum number of consecutive identical calls. */
  max_repeats: positive.default(5),
  /** Maximum number of open child sessions (sub-agents) of one session. */
  max_children: count.default(8)
}).transform(raw => ({
  name: raw.name,
  service: raw.service,
  tools: raw.tools,
  budget: raw.budget,
  maxTokensPerCall: raw.max_tokens_per_call,
  callTimeoutSeconds: raw.call_timeout_seconds,
  maxRepeats: raw.max_repeats,
  maxChildren: raw.max_children
}))

const workspace = z.strictObject({
  name,
  /** Weight of the workspace when capacity is scarce. */
  share: z.number().positive().default(1),
  programs: z.array(name).default([]),
  services: z.array(name).default([]),
  /** Salted hashes of the valid keys; two at most. */
  key_hashes: z.array(z.string().regex(/^sha256:[0-9a-f]+:[0-9a-f]{64}$/, 'sha256:<salt>:<hex>, as printed by `wisteriactl hash-key`')).min(1).max(2)
}).transform(raw => ({ name: raw.name, share: raw.share, programs: raw.programs, services: raw.services, keyHashes: raw.key_hashes }))

/** Schema of one configuration document; a configuration consists of one or more documents that are applied as a whole. */
export const DOCUMENT_SCHEMA = z.strictObject({
  region: z.array(region).default([]),
  service: z.array(service).default([]),
  program: z.array(program).default([]),
  workspace: z.array(workspace).default([])
}).transform(raw => ({ regions: raw.region, services: raw.service, programs: raw.program, workspaces: raw.workspace }))

/** The content of all documents of a configuration. */
export type Documents = z.output<typeof DOCUMENT_SCHEMA>
/** A region and its failure domains. */
export type RegionStructure = Documents['regions'][number]
/** A service and the placement of its targets. */
export type ServiceStructure = Documents['services'][number]
/** An operation of a plain service. */
export type OperationStructure = ServiceStructure['operations'][number]
/** A program and its budget. */
export type ProgramStructure = Documents['programs'][number]
/** A workspace, its share and its keys. */
export type WorkspaceStructure = Documents['workspaces'][number]
