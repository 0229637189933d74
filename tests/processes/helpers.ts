import { Caller, type CallerResponse } from '../../tools/fleet/Caller.js'
import type { Fleet } from '../../tools/fleet/Fleet.js'
import { WORKSHOP_KEY } from '../../tools/fleet/workshop.js'

/** Creates a caller that sends its requests to an entry. */
export function createCaller (fleet: Fleet, entry: string): Caller {
  return new Caller(fleet.get(entry).url, WORKSHOP_KEY)
}

/** Opens a session and returns its id. */
export async function openSession (caller: Caller, body: Record<string, unknown> = {}): Promise<string> {
  const res = await caller.send('POST', '/v1/sessions', { program: 'guidance', ...body })
  if (res.status !== 201) throw new Error(`opening a session failed with status ${res.status}: ${res.text}`)
  return String(res.json!.id)
}

/** Creates the body of a model call that generates a number of tokens. */
export function createModelCall (tokens: number): Record<string, unknown> {
  return { type: 'model', messages: [{ role: 'user', content: `Tell me [tokens=${tokens}]` }], max_tokens: tokens }
}

/** Creates the body of a booking. */
export function createBooking (body: unknown = { bench: 4 }, operation = 'booking'): Record<string, unknown> {
  return { type: 'service', service: 'kanzlei', operation, body }
}

/** Gets the runs that a plain service has recorded in its ledger. */
export async function getLedger (fleet: Fleet, target: string): Promise<Array<{ operation: string, key: string }>> {
  const res = await fetch(`${fleet.get(`${target}/target`).url}/admin/ledger`)
  return (await res.json() as { ledger: Array<{ operation: string, key: string }> }).ledger
}

/** Gets the number of runs that an engine has started. */
export async function getEngineRunCount (fleet: Fleet, target: string): Promise<number> {
  return (await getEngineState(fleet, target)).runs.length
}

/** Gets the fencing token of the latest order that an engine has accepted. */
export async function getFence (fleet: Fleet, target: string): Promise<number> {
  return (await getEngineState(fleet, target)).fence
}

async function getEngineState (fleet: Fleet, target: string): Promise<{ runs: string[], fence: number }> {
  const res = await fetch(`${fleet.get(`${target}/target`).url}/admin/runs`)
  return await res.json() as { runs: string[], fence: number }
}

/** Resends a request until it has a response or a permanent refusal. */
export async function resendUntilFinal (caller: Caller, path: string, body: unknown): Promise<CallerResponse> {
  for (;;) {
    const res = await caller.send('POST', path, body)
    if (!RETRYABLE_REASONS.has(String(res.json?.reason))) return res
    await new Promise(resolve => { setTimeout(resolve, 200) })
  }
}

/** Reasons after which a caller resends the same request. */
const RETRYABLE_REASONS: ReadonlySet<string> = new Set([
  'ledger-unreadable', 'store-unavailable', 'no-target', 'answer-not-durable', 'answer-interrupted', 'attempts-failed', 'retry-budget', 'not-ready'
])
