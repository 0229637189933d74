import { createHash } from 'node:crypto'
import { z } from 'zod'
import { decodeRowOrThrow, type RowKey, type StoredRow } from '../platform/index.js'

/** Table of programs' budgets. */
export const BUDGET_TABLE = 'budgets'

/** Number of partitions over which budgets are distributed; a partition commits one transaction at a time. */
export const BUDGET_PARTITIONS = 64

/** Budget of a program: the tokens granted to each gateway. */
export interface BudgetRow {
  /** Granted tokens by holder, less the tokens that the holder returned; a holder is one run of a gateway process. */
  readonly granted: Readonly<Record<string, number>>
  /** Incarnation of the target that ran the program's turns when the row was written; its cache probably contains their prompts. */
  readonly target?: string | undefined
  /** Tokens spent from the program's reserve; set when the reserve is closed, after which the row grants the rest of the reserve. */
  readonly reserveSpent?: number | undefined
}

/** Gets the key of the row that holds a program's budget. */
export function getBudgetKey (program: string): RowKey {
  const part = String(createHash('sha1').update(program).digest().readUInt16BE(0) % BUDGET_PARTITIONS)
  return { table: BUDGET_TABLE, part, key: program }
}

/** Encodes a budget as the value of its row. */
export function encodeBudgetRow (row: BudgetRow): Buffer {
  return Buffer.from(JSON.stringify(row))
}

const TOKENS = z.int().min(0)

const BUDGET = z.object({ granted: z.record(z.string(), TOKENS), target: z.string().optional(), reserveSpent: TOKENS.optional() })

/** Decodes a budget from its row, or throws a `RowDecodeError`: without the grants, no token may be granted. */
export function decodeBudgetRow (row: StoredRow): BudgetRow {
  return decodeRowOrThrow(row, BUDGET)
}

/** Gets the sum of the tokens granted to all holders. */
export function getTotalGranted (row: BudgetRow): number {
  return Object.values(row.granted).reduce((sum, tokens) => sum + tokens, 0)
}
