import { getReserveTokens } from '../budget/index.js'
import type { Clock } from '../clock/index.js'
import type { LedgerState } from './HandoverRow.js'
import { ReserveLender, type ClosingResult, type LoanResult, type LoanRequest } from './ReserveLender.js'

/**
 * Milliseconds after its latest turn within which a program may send another one: turns are kept for 60 s, and programs pause for a few
 * seconds between turns.
 *
 * After a restart of its holder, a reserve lends nothing for the same time, because the loans of the previous process are not recorded.
 */
export const RESERVE_RETENTION_MS = 180_000

/** Number of accounts above which unused ones are removed. */
const ACCOUNTS_BEFORE_SWEEP = 5_000

interface Account {
  spent: number
  /** Tokens of open loans, which are not settled yet. */
  lent: number
  isClosed: boolean
  usedAt: number
}

interface OpenLoan {
  readonly account: Account
  readonly tokens: number
}

/** Options of {@link ReserveLedger}. */
export interface ReserveLedgerOptions {
  readonly clock: Clock
  /** Unique name of this run of the process, which makes the ids of its loans unique. */
  readonly incarnation: string
}

/**
 * Tracks the loans from the reserves that this process holds exclusively.
 *
 * Needed during outages of the store: a program that starts then, or whose partition is unavailable, cannot get a grant and spends its
 * reserve instead. A turn may begin while any of the reserve remains, and may then exceed it: most turns generate a fraction of their
 * maximum, so a reserve that had to cover the maximum would refuse the second turn of a small budget. All turns of a program thus stay
 * within its budget and the maximum of one turn.
 *
 * The ledger is kept in the memory of one process and is lost with it; a loan that is never settled counts in full.
 */
export class ReserveLedger extends ReserveLender {
  private readonly _options: ReserveLedgerOptions
  private readonly _accounts = new Map<string, Account>()
  private readonly _loans = new Map<string, OpenLoan>()
  private _lendingStartsAt = Infinity
  private _loanCount = 0

  constructor (options: ReserveLedgerOptions) {
    super()
    this._options = options
  }

  /**
   * Starts lending.
   *
   * @param previous - State that the previous process left; empty if there was no such process, undefined if its loans are not known.
   * In that case, lending starts when all programs that it may have lent to have ended.
   */
  open (previous: LedgerState | undefined): void {
    const now = this._options.clock.now()
    this._lendingStartsAt = previous === undefined ? now + RESERVE_RETENTION_MS : -Infinity
    for (const [program, { spent, isClosed }] of Object.entries(previous ?? {})) {
      this._accounts.set(program, { spent, isClosed, lent: 0, usedAt: now })
    }
  }

  /** Stops lending and returns the state for the next process; undefined if the loans of the previous process are not known. */
  close (): LedgerState | undefined {
    const now = this._options.clock.now()
    const isComplete = now >= this._lendingStartsAt
    this._lendingStartsAt = Infinity
    if (!isComplete) return undefined
    this._sweep(now)
    const states = [...this._accounts].map(([program, { spent, lent, isClosed }]) => [program, { spent: spent + lent, isClosed }] as const)
    return Object.fromEntries(states)
  }

  lend (req: LoanRequest): LoanResult {
    const now = this._options.clock.now()
    if (now < this._lendingStartsAt) return { type: 'unavailable' }
    const account = this._getAccount(req.program, now)
    account.usedAt = now
    if (account.isClosed) return { type: 'spent', isForGood: true }
    if (account.spent + account.lent >= getReserveTokens(req.limit)) return { type: 'spent', isForGood: account.lent === 0 }
    account.lent += req.tokens
    const loan = `${this._options.incarnation}/${req.program}/${this._loanCount++}`
    this._loans.set(loan, { account, tokens: req.tokens })
    return { type: 'lent', loan }
  }

  settle (loan: string, spent: number): void {
    const openLoan = this._loans.get(loan)
    if (openLoan === undefined) return
    this._loans.delete(loan)
    openLoan.account.lent -= openLoan.tokens
    openLoan.account.spent += spent
    openLoan.account.usedAt = this._options.clock.now()
  }

  closeReserve (program: string): ClosingResult {
    const now = this._options.clock.now()
    if (now < this._lendingStartsAt) return { type: 'unavailable' }
    const account = this._getAccount(program, now)
    account.isClosed = true
    account.usedAt = now
    return { type: 'closed', spent: account.spent + account.lent }
  }

  private _getAccount (program: string, now: number): Account {
    if (this._accounts.size > ACCOUNTS_BEFORE_SWEEP) this._sweep(now)
    const existing = this._accounts.get(program)
    if (existing !== undefined) return existing
    const account = { spent: 0, lent: 0, isClosed: false, usedAt: now }
    this._accounts.set(program, account)
    return account
  }

  private _sweep (now: number): void {
    for (const [program, account] of this._accounts) {
      if (now - account.usedAt > RESERVE_RETENTION_MS) this._accounts.delete(program)
    }
    for (const [loan, { account }] of this._loans) {
      if (now - account.usedAt > RESERVE_RETENTION_MS) this._loans.delete(loan)
    }
  }
}
