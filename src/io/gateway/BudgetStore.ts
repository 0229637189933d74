import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { BudgetAccount, getBudgetKey } from '../../core/budget/index.js'
import { PartitionHealth } from '../../core/platform/index.js'
import type { BorrowResult, BudgetPeers, OpenLoan } from '../peer/index.js'
import type { DecisionLog } from '../process/index.js'
import { BudgetRows, Grant } from './BudgetRows.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds after its last use for which an account is kept; longer than the store retains turns. */
const ACCOUNT_TTL_MS = 120_000

/** Milliseconds after its last use at which an account returns its unused tokens; most programs send their next turn before. */
export const RETURN_AFTER_MS = 500

/** Milliseconds between two checks for accounts with tokens to return. */
export const RETURN_CHECK_MS = 250

/** Number of accounts above which unused ones are removed. */
const ACCOUNTS_BEFORE_SWEEP = 5_000

/** Milliseconds between two tries when neither the store nor the reserve grants tokens. */
const GRANT_PAUSE_MS = 100

/** Outcome of reserving the tokens of a turn. */
export type Reservation =
  /** The turn may run; `settle` is called with the tokens that it has spent. */
  | { readonly type: 'granted', readonly settle: (spent: number) => void }
  | { readonly type: 'spent' }
  | { readonly type: 'unreadable' }

/** Tokens that a turn needs. */
export interface ReservationRequest {
  /** Id of the turn's request, for logs. */
  readonly req: string
  readonly program: string
  /** Tokens that all turns of the program may generate. */
  readonly limit: number
  /** Largest number of tokens that the turn may generate. */
  readonly tokens: number
  /** Chooses the target for the turn, given the target of the program's earlier turns; it is stored with the budget for other gateways. */
  readonly chooseTarget: (warmTarget: string | undefined) => string | undefined
  readonly deadline: number
}

/** Options of {@link BudgetStore}. */
export interface BudgetStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  /** Unique name of this run of the gateway; begins with the gateway's id and a slash. */
  readonly holder: string
  /** Client of the other gateways, which hold reserves and grants. */
  readonly peers: Pick<BudgetPeers, 'borrow' | 'closeReserve' | 'recall'>
  readonly onLoan: (result: BorrowResult['type']) => void
}

/**
 * Reserves tokens of programs' budgets: from grants in the store's row, or from the program's reserve while the row is unavailable.
 *
 * The tokens that the row grants and those that the reserve lends never exceed the budget together. Before a budget counts as spent, other
 * gateways return their unused grants and the reserve is closed, so that its remaining tokens can be granted from the row.
 */
export class BudgetStore {
  private readonly _options: BudgetStoreOptions
  private readonly _accounts = new Map<string, BudgetAccount>()
  /** Row changes in progress, by program; a gateway makes one at a time, so that no change starts from a row that another is replacing. */
  private readonly _pendingChanges = new Map<string, Promise<Grant | undefined>>()
  private readonly _partitions = new PartitionHealth()
  private readonly _rows: BudgetRows

  constructor (options: BudgetStoreOptions) {
    this._options = options
    this._rows = new BudgetRows({ ...options, partitions: this._partitions })
  }

  /** Reserves the largest number of tokens that a turn may spend. */
  async reserve (req: ReservationRequest): Promise<Reservation> {
    const { clock, log, access } = this._options
    const account = this._getAccount(req.program)
    // At first a partition that just failed is skipped: it mostly fails again, while the reserve responds at once.
    for (let skipsFailedPartition = true; ; skipsFailedPartition = false) {
      const grant = await this._reserveFromGrants(account, req, skipsFailedPartition)
      if (grant === Grant.Granted) return { type: 'granted', settle: spent => { this._settle(account, req.tokens, spent) } }
      if (grant === Grant.Spent) return { type: 'spent' }
      const loan = await this._borrow(account, req)
      if (loan !== undefined) return { type: 'granted', settle: loan.settle }
      if (access.health.isUnavailable() || clock.now() + GRANT_PAUSE_MS >= req.deadline) {
        log.warn('budget-unreadable', { req: req.req, program: req.program, isStoreAway: access.health.isUnavailable() })
        return { type: 'unreadable' }
      }
      await sleep(GRANT_PAUSE_MS)
    }
  }

  /** Gets the target that ran the program's earlier turns, according to the store's row. */
  getWarmTarget (program: string): string | undefined {
    return this._accounts.get(program)?.warmTarget
  }

  /** Checks whether turns of the program have spent tokens, at this gateway or, according to the store's row, at others. */
  hasEarlierTurns (program: string): boolean {
    return this._accounts.get(program)?.hasEarlierTurns === true
  }

  /**
   * Returns the unused grants of programs that have no recent turn at this gateway.
   *
   * Needed when a program's turns arrive at many gateways, since each would keep unused tokens, and when a gateway crashes: only the grants
   * in use are lost with it.
   */
  async returnUnused (): Promise<void> {
    const { access, clock } = this._options
    if (access.health.isUnavailable()) return
    const now = clock.now()
    const unused = [...this._accounts].filter(([, account]) => now - account.usedAt >= RETURN_AFTER_MS)
    await Promise.all(unused.map(async ([program]) => { await this.returnUnusedOf(program) }))
  }

  /** Returns the unused grant of a program, unless it has a turn in progress. */
  async returnUnusedOf (program: string): Promise<void> {
    const account = this._accounts.get(program)
    if (account === undefined || account.isInUse() || this._pendingChanges.has(program) || account.getAvailable() <= 0) return
    await this._changeRow(program, async () => {
      await this._rows.returnGrant(program, account)
      return undefined
    })
  }

  /** Changes a program's row; further changes wait for it. */
  private _changeRow (program: string, change: () => Promise<Grant | undefined>): Promise<Grant | undefined> {
    const pendingChange = change().finally(() => { this._pendingChanges.delete(program) })
    this._pendingChanges.set(program, pendingChange)
    return pendingChange
  }

  private _settle (account: BudgetAccount, reserved: number, spent: number): void {
    account.settle(reserved, spent)
    account.usedAt = this._options.clock.now()
  }

  /** Reserves from the grants of the store, which are increased when they don't cover the turn. */
  private async _reserveFromGrants (account: BudgetAccount, req: ReservationRequest, skipsFailedPartition: boolean): Promise<Grant> {
    for (;;) {
      if (account.tryReserve(req.tokens)) return Grant.Granted
      if (account.isCachedAsSpent(req.tokens, this._options.clock.now())) return Grant.Spent
      let pendingChange = this._pendingChanges.get(req.program)
      if (pendingChange === undefined) {
        if (skipsFailedPartition &&
          this._partitions.hasFailedRecently(getBudgetKey(req.program).part, this._options.clock.now())) {
          return Grant.Unreadable
        }
        pendingChange = this._changeRow(req.program, async () => await this._rows.grant(account, req))
      }
      const grant = await pendingChange
      if (grant === Grant.Unreadable) return grant
    }
  }

  /** Borrows from the program's reserve. */
  private async _borrow (account: BudgetAccount, req: ReservationRequest): Promise<OpenLoan | undefined> {
    const { peers, log, onLoan } = this._options
    if (account.isReserveSpent()) return undefined
    const result = await peers.borrow({ program: req.program, limit: req.limit, tokens: req.tokens })
    onLoan(result.type)
    log.info('reserve-asked', { req: req.req, program: req.program, tokens: req.tokens, result: result.type })
    if (result.type === 'lent') return result.loan
    if (result.type === 'spent' && result.isForGood) account.recordReserveSpent()
    return undefined
  }

  private _getAccount (program: string): BudgetAccount {
    const now = this._options.clock.now()
    if (this._accounts.size > ACCOUNTS_BEFORE_SWEEP) this._removeUnused(now)
    const existing = this._accounts.get(program)
    if (existing !== undefined) return existing
    const account = new BudgetAccount(now)
    this._accounts.set(program, account)
    return account
  }

  private _removeUnused (now: number): void {
    for (const [program, account] of this._accounts) {
      if (!account.isInUse() && now - account.usedAt > ACCOUNT_TTL_MS) this._accounts.delete(program)
    }
  }
}
