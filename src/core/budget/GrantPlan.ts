import { getTotalGranted, type BudgetRow } from './BudgetRow.js'

/**
 * Share of the remaining tokens that one grant gets.
 *
 * With it, most programs need one grant at each gateway, and the seventh gateway of a program still gets one.
 */
export const GRANT_SHARE = 0.25

/** Request of a holder for tokens of a budget. */
export interface GrantRequest {
  readonly holder: string
  /** Tokens that the row may grant to all holders together. */
  readonly limit: number
  /** Tokens that the next turn needs in addition to those available to the holder. */
  readonly missing: number
  /** Target of the program's next turn, stored in the row for the other gateways. */
  readonly target: string | undefined
}

/** Result of planning a grant. */
export type GrantPlan =
  | { readonly type: 'grant', readonly tokens: number, readonly next: BudgetRow }
  /** The remaining tokens of the budget do not cover the turn. */
  | { readonly type: 'spent', readonly granted: number }

/**
 * Plans a grant from a program's budget.
 *
 * Handles programs whose turns arrive at several gateways: each gateway gets only a share of the remaining tokens, which leaves some for
 * gateways that ask later, and the grants together never exceed the budget.
 */
export function planGrant (row: BudgetRow, req: GrantRequest): GrantPlan {
  const granted = getTotalGranted(row)
  const remaining = req.limit - granted
  if (remaining < req.missing) return { type: 'spent', granted }
  const tokens = Math.max(req.missing, Math.ceil(remaining * GRANT_SHARE))
  return { type: 'grant', tokens, next: addGrant(row, req, tokens) }
}

/** Plans the change after which the row grants the unspent tokens of a closed reserve. */
export function planReserveClosing (row: BudgetRow, spent: number): BudgetRow {
  return { ...row, reserveSpent: row.reserveSpent ?? spent }
}

/** Plans the return of granted tokens that their holder does not need. */
export function planReturn (row: BudgetRow, holder: string, tokens: number): BudgetRow {
  return { ...row, granted: { ...row.granted, [holder]: Math.max(0, (row.granted[holder] ?? 0) - tokens) } }
}

function addGrant (row: BudgetRow, req: GrantRequest, tokens: number): BudgetRow {
  const granted = { ...row.granted, [req.holder]: (row.granted[req.holder] ?? 0) + tokens }
  return { ...row, granted, target: req.target }
}
