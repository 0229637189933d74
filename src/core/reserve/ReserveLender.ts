/** Request for a loan of tokens from a program's reserve. */
export interface LoanRequest {
  readonly program: string
  /** Token budget of the program: tokens that all its turns together may generate. */
  readonly limit: number
  /** Maximum tokens of the turn. */
  readonly tokens: number
}

/** Result of a loan request: the id of the loan, or why nothing was lent. */
export type LoanResult =
  | { readonly type: 'lent', readonly loan: string }
  /** No tokens remain; permanently so if no open loan can return any. */
  | { readonly type: 'spent', readonly isForGood: boolean }
  | { readonly type: 'unavailable' }

/** Result of closing a reserve: the tokens spent from it, or that it cannot be closed now. */
export type ClosingResult = { readonly type: 'closed', readonly spent: number } | { readonly type: 'unavailable' }

/** Lends tokens from the reserves of programs. */
export abstract class ReserveLender {
  /** Lends the maximum tokens of a turn. */
  abstract lend (req: LoanRequest): LoanResult
  /** Ends a loan and records the tokens that the turn spent. */
  abstract settle (loan: string, spent: number): void
  /** Closes a program's reserve, which then lends nothing, so that the store's row may grant the rest; open loans count in full. */
  abstract closeReserve (program: string): ClosingResult
}
