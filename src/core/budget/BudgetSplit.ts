import type { BudgetRow } from './BudgetRow.js'

/**
 * Share of a budget that the store's row never grants.
 *
 * Budgets are several times what honest programs use: the larger share survives a gateway that dies with a turn's grant, the smaller one
 * carries a program through an outage.
 */
export const RESERVE_SHARE = 0.35

/** Gets the tokens of a budget that are lent out by the program's reserve alone. */
export function getReserveTokens (limit: number): number {
  return Math.floor(limit * RESERVE_SHARE)
}

/** Gets the tokens of a budget that the store's row grants: all but the reserve, or but what was spent of it once it is closed. */
export function getGrantableTokens (limit: number, row: Pick<BudgetRow, 'reserveSpent'> = {}): number {
  return limit - (row.reserveSpent ?? getReserveTokens(limit))
}
