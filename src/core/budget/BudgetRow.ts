import { createHash } from 'node:crypto'
import type { RowKey, StoredRow } from '../platform/index.js'

/** Table of programs' budgets. */
export const BUDGET_TABLE = 'budgets'

/** Parts over which budgets are spread; a part commits one transaction at a time. */
export const BUDGET_PARTITIONS = 64

/** What a program may spend and who may spend it. */
export interface BudgetRow {
  /** Tokens granted, by holder; a holder is one run of a gateway. What a holder gave back is taken off. */
  readonly granted: Readonly<Record<string, number>>
  /** Lifetime of the target that ran the program's turns when the row was written; it probably has their prompts cached. */
  readonly target?: string | undefined
  /** Tokens that were spent of the program's reserve; set when the reserve was closed and the row grants the rest of it. */
  readonly reserveSpent?: number | undefined
}

/** Gets the key of a program's budget. */
export function getBudgetKey (program: string): RowKey {
  const part = String(createHash('sha1').update(program).digest().readUInt16BE(0) % BUDGET_PARTITIONS)
  return { table: BUDGET_TABLE, part, key: program }
}

/** Encodes a budget. */
export function encodeBudgetRow (row: BudgetRow): Buffer {
  return Buffer.from(JSON.stringify(row))
}

/** Decodes a budget. */
export function decodeBudgetRow (row: StoredRow): BudgetRow {
  return JSON.parse(Buffer.from(row.value).toString('utf8')) as BudgetRow
}

/** Gets the tokens granted to all holders. */
export function getTotalGranted (row: BudgetRow): number {
  return Object.values(row.granted).reduce((sum, tokens) => sum + tokens, 0)
}
