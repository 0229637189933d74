import { getTotalGranted, type BudgetRow } from './BudgetRow.js'

/** Share of what is left that one grant takes: most programs need one grant at each gateway, and the seventh gateway still finds some. */
export const GRANT_SHARE = 0.25

/** What a holder asks of a budget. */
export interface GrantRequest {
  readonly holder: string
  /** Tokens that the row may grant. */
  readonly limit: number
  /** Tokens that the next turn needs beyond what the holder has. */
  readonly missing: number
  /** Target for the program's next turn, told to other gateways. */
  readonly target: string | undefined
}

/** What may be granted. */
export type GrantPlan =
  | { readonly type: 'grant', readonly tokens: number, readonly next: BudgetRow }
  /** What is left of the budget does not cover the turn. */
  | { readonly type: 'spent', readonly granted: number }

/**
 * Plans a grant from a program's budget.
 *
 * Answers programs whose turns arrive at several gateways: each draws a share of what is left, so that the last ones still find some, and
 * all shares together never exceed the budget.
 */
export function planGrant (row: BudgetRow, req: GrantRequest): GrantPlan {
  const granted = getTotalGranted(row)
  const remaining = req.limit - granted
  if (remaining < req.missing) return { type: 'spent', granted }
  const tokens = Math.max(req.missing, Math.ceil(remaining * GRANT_SHARE))
  return { type: 'grant', tokens, next: addGrant(row, req, tokens) }
}

/** Lets the row grant what is left of a reserve that lends nothing any more. */
export function planReserveClosing (row: BudgetRow, spent: number): BudgetRow {
  return { ...row, reserveSpent: row.reserveSpent ?? spent }
}

/** Takes tokens of a grant back that its holder does not need. */
export function planReturn (row: BudgetRow, holder: string, tokens: number): BudgetRow {
  return { ...row, granted: { ...row.granted, [holder]: Math.max(0, (row.granted[holder] ?? 0) - tokens) } }
}

function addGrant (row: BudgetRow, req: GrantRequest, tokens: number): BudgetRow {
  const granted = { ...row.granted, [req.holder]: (row.granted[req.holder] ?? 0) + tokens }
  return { ...row, granted, target: req.target }
}
