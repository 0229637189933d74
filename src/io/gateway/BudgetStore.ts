import type { Clock } from '../../core/clock/index.js'
import { BudgetAccount, decodeBudgetRow, encodeBudgetRow, getBudgetKey, planGrant, type BudgetRow } from '../../core/budget/index.js'
import { StoreError, type RowKey, type StoredRow } from '../../core/platform/index.js'
import type { DecisionLog } from '../process/index.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds after its last use for which an account is kept; longer than the store keeps turns. */
const ACCOUNT_TTL_MS = 120_000

/** Accounts above which unused ones are looked for. */
const ACCOUNTS_BEFORE_SWEEP = 5_000

/** Whether a turn may spend its tokens. */
export const Reservation = { Granted: 'granted', Spent: 'spent', Unreadable: 'unreadable' } as const
export type Reservation = typeof Reservation[keyof typeof Reservation]

/** What a turn wants to spend. */
export interface ReservationRequest {
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
  /** Name of this run of the gateway, used by no other one. */
  readonly holder: string
}

/** Spends the budgets of programs from grants of the store. */
export class BudgetStore {
  private readonly _options: BudgetStoreOptions
  private readonly _accounts = new Map<string, BudgetAccount>()
  private readonly _granting = new Map<string, Promise<Reservation>>()

  constructor (options: BudgetStoreOptions) {
    this._options = options
  }

  /** Reserves the most that a turn may spend. */
  async reserve (req: ReservationRequest): Promise<Reservation> {
    const account = this._getAccount(req.program)
    for (;;) {
      if (account.tryReserve(req.tokens)) return Reservation.Granted
      if (account.isKnownSpent(req.tokens)) return Reservation.Spent
      const underWay = this._granting.get(req.program)
      if (underWay !== undefined) {
        await underWay
        continue
      }
      const granting = this._grant(account, req).finally(() => { this._granting.delete(req.program) })
      this._granting.set(req.program, granting)
      const result = await granting
      if (result !== Reservation.Granted) return result
    }
  }

  /** Gets the target that ran the program's earlier turns, as far as the store says. */
  getWarmTarget (program: string): string | undefined {
    return this._accounts.get(program)?.warmTarget
  }

  /** Ends a reservation with what the turn did spend. */
  settle (program: string, reserved: number, spent: number): void {
    const account = this._getAccount(program)
    account.settle(reserved, spent)
    account.usedAt = this._options.clock.now()
  }

  private async _grant (account: BudgetAccount, req: ReservationRequest): Promise<Reservation> {
    const { clock, log } = this._options
    const key = getBudgetKey(req.program)
    // A program that this gateway has not met is most often new: the first try requires that it has no row.
    let row: StoredRow | undefined
    let isKnown = account.getGranted() === 0
    for (;;) {
      try {
        if (!isKnown) row = await this._readRow(key, req.deadline)
        const result = await this._tryGrant(account, req, key, row)
        if (result.type === 'done') return result.reservation
        row = result.row
        isKnown = true
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        // The change may have been made, so the row is read before the next try.
        isKnown = false
        if (clock.now() >= req.deadline || this._options.access.health.isAway()) {
          log.warn('budget-unreadable', { program: req.program, cause: err.message })
          return Reservation.Unreadable
        }
      }
    }
  }

  private async _tryGrant (
    account: BudgetAccount, req: ReservationRequest, key: RowKey, row: StoredRow | undefined
  ): Promise<{ type: 'done', reservation: Reservation } | { type: 'changed', row: StoredRow | undefined }> {
    const { holder, access, log } = this._options
    const budget: BudgetRow = row === undefined ? { granted: {} } : decodeBudgetRow(row)
    account.setGranted(budget.granted[holder] ?? 0)
    account.warmTarget = budget.target ?? account.warmTarget
    const missing = req.tokens - account.getAvailable()
    if (missing <= 0) return { type: 'done', reservation: Reservation.Granted }
    const plan = planGrant(budget, { holder, limit: req.limit, missing, target: req.chooseTarget(account.warmTarget) })
    if (plan.type === 'spent') {
      account.noteLeft(req.limit - plan.granted)
      log.info('budget-spent', { program: req.program, limit: req.limit, granted: plan.granted, version: row?.version ?? 0 })
      return { type: 'done', reservation: Reservation.Spent }
    }
    account.noteAsked()
    const conditions = [{ ...key, version: row?.version ?? 0 }]
    const result = await access.commitOnce({ conditions, puts: [{ ...key, value: encodeBudgetRow(plan.next) }] }, req.deadline)
    if (result.type === 'conflict') return { type: 'changed', row: result.rows.find(found => found.key === key.key) }
    account.setGranted(plan.next.granted[holder] ?? 0)
    account.warmTarget = plan.next.target
    return { type: 'done', reservation: Reservation.Granted }
  }

  private async _readRow (key: RowKey, deadline: number): Promise<StoredRow | undefined> {
    const { rows } = await this._options.access.read({ table: key.table, part: key.part, from: key.key, to: `${key.key}\u0000` }, deadline)
    return rows.find(row => row.key === key.key)
  }

  private _getAccount (program: string): BudgetAccount {
    const now = this._options.clock.now()
    if (this._accounts.size > ACCOUNTS_BEFORE_SWEEP) this._sweep(now)
    const known = this._accounts.get(program)
    if (known !== undefined) return known
    const account = new BudgetAccount(now)
    this._accounts.set(program, account)
    return account
  }

  private _sweep (now: number): void {
    for (const [program, account] of this._accounts) {
      if (!account.isInUse() && now - account.usedAt > ACCOUNT_TTL_MS) this._accounts.delete(program)
    }
  }
}
