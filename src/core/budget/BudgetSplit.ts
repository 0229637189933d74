import type { BudgetRow } from './BudgetRow.js'

/**
 * Share of a budget that is kept as the program's reserve, which the store's row does not grant.
 *
 * A budget is several times the tokens that an honest program uses. The larger share, granted by the row, is enough for a program that
 * loses the grant of a turn with a crashed gateway, also when its reserve is lost too. The smaller one is enough for most programs during
 * an outage of the store, since the last turn of a reserve may exceed it.
 */
export const RESERVE_SHARE = 0.25

/** Gets the tokens of a budget that only the program's reserve lends. */
export function getReserveTokens (limit: number): number {
  return Math.floor(limit * RESERVE_SHARE)
}

/** Gets the tokens of a budget that the store's row may grant: all except the reserve, or, once that is closed, except its spent tokens. */
export function getGrantableTokens (limit: number, row: Pick<BudgetRow, 'reserveSpent'> = {}): number {
  return limit - (row.reserveSpent ?? getReserveTokens(limit))
}
