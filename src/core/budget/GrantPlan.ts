import { getTotalGranted, type BudgetRow } from './BudgetRow.js'

/** Share of a budget that one grant takes, so that most programs need one grant at each gateway. */
export const GRANT_SHARE = 0.25

/** Turns that a grant covers at least, while the budget lasts. */
export const GRANT_TURNS = 2

/** What a holder asks of a budget. */
export interface GrantRequest {
  readonly holder: string
  /** Tokens that all turns of the program may generate. */
  readonly limit: number
  /** Tokens that the next turn needs beyond what the holder has. */
  readonly missing: number
  /** Most tokens of the next turn. */
  readonly turnTokens: number
}

/** What may be granted. */
export type GrantPlan =
  | { readonly type: 'grant', readonly tokens: number, readonly next: BudgetRow }
  /** The grants have reached the budget. */
  | { readonly type: 'spent', readonly granted: number }

/**
 * Plans a grant from a program's budget.
 *
 * Answers programs whose turns arrive at several gateways: each draws shares of its own, and all shares together exceed the budget by less
 * than one turn, so that a turn is not refused while other holders may have tokens left over.
 */
export function planGrant (row: BudgetRow, req: GrantRequest): GrantPlan {
  const granted = getTotalGranted(row)
  const left = req.limit - granted
  if (left <= 0) return { type: 'spent', granted }
  const wished = Math.max(req.missing, Math.ceil(req.limit * GRANT_SHARE), GRANT_TURNS * req.turnTokens)
  const tokens = Math.max(req.missing, Math.min(wished, left))
  if (tokens - left >= req.turnTokens) return { type: 'spent', granted }
  return { type: 'grant', tokens, next: withGrant(row, req.holder, tokens) }
}

/** Gets the row after a holder gave tokens back. */
export function withReturn (row: BudgetRow, holder: string, tokens: number): BudgetRow {
  return withGrant(row, holder, -tokens)
}

function withGrant (row: BudgetRow, holder: string, tokens: number): BudgetRow {
  return { granted: { ...row.granted, [holder]: (row.granted[holder] ?? 0) + tokens } }
}
