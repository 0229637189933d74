/** Asks for tokens of a program's reserve. */
export interface LoanRequest {
  readonly program: string
  /** Tokens that all turns of the program may generate. */
  readonly limit: number
  /** Most tokens of the turn. */
  readonly tokens: number
}

/** Why a reserve lends nothing, or the name of the loan. */
export type LoanResult =
  | { readonly type: 'lent', readonly loan: string }
  /** What is left does not cover the turn; for good when no loan is open. */
  | { readonly type: 'spent', readonly isForGood: boolean }
  | { readonly type: 'unavailable' }

/** What was spent of a reserve that lends nothing any more. */
export type ClosingResult = { readonly type: 'closed', readonly spent: number } | { readonly type: 'unavailable' }

/** Lends tokens of programs' reserves. */
export abstract class ReserveLender {
  /** Lends the most that a turn may spend. */
  abstract lend (req: LoanRequest): LoanResult
  /** Ends a loan with what the turn did spend. */
  abstract settle (loan: string, spent: number): void
  /** Lends nothing of a program's reserve any more, so that the store's row may grant the rest; open loans count in full. */
  abstract close (program: string): ClosingResult
}
