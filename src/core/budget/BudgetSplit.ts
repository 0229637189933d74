import type { BudgetRow } from './BudgetRow.js'

/** Share of a budget that the store's row never grants; both halves of the smallest budgets still cover a turn. */
export const RESERVE_SHARE = 0.45

/** Gets the tokens of a budget that are lent out by the program's reserve alone. */
export function getReserveTokens (limit: number): number {
  return Math.floor(limit * RESERVE_SHARE)
}

/** Gets the tokens of a budget that the store's row grants: all but the reserve, or but what was spent of it once it is closed. */
export function getGrantableTokens (limit: number, row: Pick<BudgetRow, 'reserveSpent'> = {}): number {
  return limit - (row.reserveSpent ?? getReserveTokens(limit))
}
