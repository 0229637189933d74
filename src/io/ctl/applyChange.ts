import { setTimeout as sleep } from 'node:timers/promises'
import type { Either } from 'purify-ts'
import { CONFIG_KEY, type ChangeConflict, type ChangeDecision, type ConfigChange } from '../../core/config/index.js'
import type { Table } from '../../core/platform/index.js'

/** Milliseconds between two attempts while the table is unavailable. */
const RETRY_INTERVAL_MS = 500

/** Milliseconds after which a change is no longer attempted. */
export const APPLY_TIMEOUT_MS = 20_000

/**
 * Commits a change to the table and retries until the outcome is known.
 *
 * @returns The final decision, or undefined when the table did not respond in time and the outcome is unknown.
 */
export async function applyChange (table: Table, change: ConfigChange): Promise<Either<ChangeConflict, ChangeDecision> | undefined> {
  const deadline = Date.now() + APPLY_TIMEOUT_MS
  while (Date.now() < deadline) {
    try {
      const decision = change.decide(await table.read([CONFIG_KEY]), Date.now())
      const allowed = decision.toMaybe().extract()
      if (allowed === undefined || allowed.type === 'applied') return decision
      // A conflict, like a lost response, is resolved by the next read.
      if ((await table.commit(allowed.transaction)).type === 'committed') return decision
    } catch {
      await sleep(RETRY_INTERVAL_MS)
    }
  }
  return undefined
}
