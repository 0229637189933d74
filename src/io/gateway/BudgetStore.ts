import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { BudgetAccount, getBudgetKey } from '../../core/budget/index.js'
import { PartitionHealth } from '../../core/platform/index.js'
import type { BorrowResult, BudgetPeers, OpenLoan } from '../peer/index.js'
import type { DecisionLog } from '../process/index.js'
import { BudgetRows, Grant } from './BudgetRows.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds after its last use for which an account is kept; longer than the store keeps turns. */
const ACCOUNT_TTL_MS = 120_000

/** Milliseconds after its last use at which an account gives back what it holds; a program that comes again mostly does so before. */
export const RETURN_AFTER_MS = 500

/** Milliseconds between two looks for accounts that give back. */
export const RETURN_CHECK_MS = 250

/** Accounts above which unused ones are looked for. */
const ACCOUNTS_BEFORE_SWEEP = 5_000

/** Milliseconds between two tries when neither the store nor the reserve answers. */
const GRANT_PAUSE_MS = 100

/** Whether a turn may spend its tokens. */
export type Reservation =
  /** It may, and ends with what it did spend. */
  | { readonly type: 'granted', readonly settle: (spent: number) => void }
  | { readonly type: 'spent' }
  | { readonly type: 'unreadable' }

/** What a turn wants to spend. */
export interface ReservationRequest {
  /** Id of the turn's request, for logs. */
  readonly req: string
  readonly program: string
  /** Tokens that all turns of the program may generate. */
  readonly limit: number
  /** Most tokens of the turn. */
  readonly tokens: number
  /** Chooses the target for the turn, given the one of the program's earlier turns; other gateways learn it with the budget. */
  readonly chooseTarget: (warmTarget: string | undefined) => string | undefined
  readonly deadline: number
}

/** Options of {@link BudgetStore}. */
export interface BudgetStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  /** Name of this run of the gateway, used by no other one; begins with the gateway's id and a slash. */
  readonly holder: string
  /** Other gateways, which hold reserves and grants. */
  readonly peers: Pick<BudgetPeers, 'borrow' | 'closeReserve' | 'recall'>
  readonly onLoan: (result: BorrowResult['type']) => void
}

/**
 * Spends the budgets of programs: from grants of the store, or from the program's reserve while the store's row is out of reach.
 *
 * What the row grants and what the reserve lends never exceed the budget together. Before a budget counts as spent, other gateways are
 * asked to give back what they do not need, and the reserve is closed, so that the row grants the rest of it.
 */
export class BudgetStore {
  private readonly _options: BudgetStoreOptions
  private readonly _accounts = new Map<string, BudgetAccount>()
  /** Changes of rows under way, by program; a gateway makes one at a time, so that none builds on what another is about to change. */
  private readonly _pendingChanges = new Map<string, Promise<Grant | undefined>>()
  private readonly _partitions = new PartitionHealth()
  private readonly _rows: BudgetRows

  constructor (options: BudgetStoreOptions) {
    this._options = options
    this._rows = new BudgetRows({ ...options, partitions: this._partitions })
  }

  /** Reserves the most that a turn may spend. */
  async reserve (req: ReservationRequest): Promise<Reservation> {
    const { clock, log, access } = this._options
    const account = this._getAccount(req.program)
    // The reserve answers at once, while a part that just failed mostly fails again.
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

  /** Gets the target that ran the program's earlier turns, as far as the store says. */
  getWarmTarget (program: string): string | undefined {
    return this._accounts.get(program)?.warmTarget
  }

  /**
   * Gives back what programs that went on elsewhere left here.
   *
   * Answers programs whose turns come through many gateways, and gateways that die: only grants in use are lost with them.
   */
  async returnUnused (): Promise<void> {
    const { access, clock } = this._options
    if (access.health.isUnavailable()) return
    const now = clock.now()
    const unused = [...this._accounts].filter(([, account]) => now - account.usedAt >= RETURN_AFTER_MS)
    await Promise.all(unused.map(async ([program]) => { await this.returnUnusedOf(program) }))
  }

  /** Gives back what a program does not need here, unless it has a turn under way. */
  async returnUnusedOf (program: string): Promise<void> {
    const account = this._accounts.get(program)
    if (account === undefined || account.isInUse() || this._pendingChanges.has(program) || account.getAvailable() <= 0) return
    await this._changeRow(program, async () => {
      await this._rows.returnGrant(program, account)
      return undefined
    })
  }

  /** Makes a change of a program's row; others wait for it. */
  private _changeRow (program: string, change: () => Promise<Grant | undefined>): Promise<Grant | undefined> {
    const pendingChange = change().finally(() => { this._pendingChanges.delete(program) })
    this._pendingChanges.set(program, pendingChange)
    return pendingChange
  }

  private _settle (account: BudgetAccount, reserved: number, spent: number): void {
    account.settle(reserved, spent)
    account.usedAt = this._options.clock.now()
  }

  /** Reserves from what the store has granted, asking for more once. */
  private async _reserveFromGrants (account: BudgetAccount, req: ReservationRequest, skipsFailedPartition: boolean): Promise<Grant> {
    for (;;) {
      if (account.tryReserve(req.tokens)) return Grant.Granted
      if (account.isCachedAsSpent(req.tokens, this._options.clock.now())) return Grant.Spent
      let pendingChange = this._pendingChanges.get(req.program)
      if (pendingChange === undefined) {
        if (skipsFailedPartition &&
          this._partitions.hasFailedRecently(getBudgetKey(req.program).part, this._options.clock.now())) return Grant.Unreadable
        pendingChange = this._changeRow(req.program, async () => await this._rows.grant(account, req))
      }
      const grant = await pendingChange
      if (grant === Grant.Unreadable) return grant
    }
  }

  /** Borrows from the program's reserve. */
  private async _borrow (account: BudgetAccount, req: ReservationRequest): Promise<OpenLoan | undefined> {
    const { peers, log, onLoan } = this._options
    if (account.isReserveSpent(req.tokens)) return undefined
    const result = await peers.borrow({ program: req.program, limit: req.limit, tokens: req.tokens })
    onLoan(result.type)
    log.info('reserve-asked', { req: req.req, program: req.program, tokens: req.tokens, result: result.type })
    if (result.type === 'lent') return result.loan
    if (result.type === 'spent' && result.isForGood) account.recordReserveSpent(req.tokens)
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
