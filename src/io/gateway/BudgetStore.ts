import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import {
  BudgetAccount, decodeBudgetRow, encodeBudgetRow, getBudgetKey, getGrantableTokens, planGrant, planReserveClosing, planReturn,
  type BudgetRow
} from '../../core/budget/index.js'
import { PartHealth, StoreError, type RowKey, type StoredRow } from '../../core/platform/index.js'
import type { BorrowResult, BudgetPeers, OpenLoan } from '../peer/index.js'
import type { DecisionLog } from '../process/index.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds after its last use for which an account is kept; longer than the store keeps turns. */
const ACCOUNT_TTL_MS = 120_000

/** Milliseconds after its last use at which an account gives back what it holds; a program that comes again mostly does so before. */
export const RETURN_AFTER_MS = 500

/** Milliseconds between two looks for accounts that give back. */
export const RETURN_CHECK_MS = 250

/** Milliseconds for giving back, over all tries; a turn that comes meanwhile waits. */
const RETURN_TIMEOUT_MS = 400

/** Tries to give back while other gateways change the row. */
const RETURN_TRIES = 3

/** Tries to note a closed reserve while other gateways change the row. */
const COLLECT_TRIES = 3

/** Accounts above which unused ones are looked for. */
const ACCOUNTS_BEFORE_SWEEP = 5_000

/** Milliseconds for one try of a grant; a store that is sixty times slower than usual answers within them. */
const GRANT_TRY_MS = 400

/** Milliseconds between two tries when neither the store nor the reserve answers. */
const GRANT_PAUSE_MS = 100

/** Whether a turn may spend its tokens. */
export type Reservation =
  /** It may, and ends with what it did spend. */
  | { readonly type: 'granted', readonly settle: (spent: number) => void }
  | { readonly type: 'spent' }
  | { readonly type: 'unreadable' }

/** Outcome of asking the store for a grant. */
const Grant = { Granted: 'granted', Spent: 'spent', Unreadable: 'unreadable' } as const
type Grant = typeof Grant[keyof typeof Grant]

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
  private readonly _changing = new Map<string, Promise<Grant | undefined>>()
  private readonly _parts = new PartHealth()

  constructor (options: BudgetStoreOptions) {
    this._options = options
  }

  /** Reserves the most that a turn may spend. */
  async reserve (req: ReservationRequest): Promise<Reservation> {
    const { clock, log, access } = this._options
    const account = this._getAccount(req.program)
    // The reserve answers at once, while a part that just failed mostly fails again.
    for (let skipsFailedPart = true; ; skipsFailedPart = false) {
      const grant = await this._reserveFromGrants(account, req, skipsFailedPart)
      if (grant === Grant.Granted) return { type: 'granted', settle: spent => { this._settle(account, req.tokens, spent) } }
      if (grant === Grant.Spent) return { type: 'spent' }
      const loan = await this._borrow(account, req)
      if (loan !== undefined) return { type: 'granted', settle: loan.settle }
      if (access.health.isAway() || clock.now() + GRANT_PAUSE_MS >= req.deadline) {
        log.warn('budget-unreadable', { req: req.req, program: req.program, isStoreAway: access.health.isAway() })
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
    if (access.health.isAway()) return
    const now = clock.now()
    const unused = [...this._accounts].filter(([, account]) => now - account.usedAt >= RETURN_AFTER_MS)
    await Promise.all(unused.map(async ([program]) => { await this.returnUnusedOf(program) }))
  }

  /** Gives back what a program does not need here, unless it has a turn under way. */
  async returnUnusedOf (program: string): Promise<void> {
    const account = this._accounts.get(program)
    if (account === undefined || account.isInUse() || this._changing.has(program) || account.getAvailable() <= 0) return
    await this._change(program, async () => {
      await this._return(program, account)
      return undefined
    })
  }

  /** Makes a change of a program's row; others wait for it. */
  private _change (program: string, change: () => Promise<Grant | undefined>): Promise<Grant | undefined> {
    const changing = change().finally(() => { this._changing.delete(program) })
    this._changing.set(program, changing)
    return changing
  }

  private async _return (program: string, account: BudgetAccount): Promise<void> {
    const { access, clock, holder, log } = this._options
    const key = getBudgetKey(program)
    const deadline = clock.now() + RETURN_TIMEOUT_MS
    const tokens = account.beginReturn()
    try {
      for (let tries = 0; tries < RETURN_TRIES; tries++) {
        const row: StoredRow | undefined = account.row.isKnown ? account.row.row : await this._readRow(key, deadline)
        if (row === undefined) break
        const next = planReturn(decodeBudgetRow(row), holder, tokens)
        const value = encodeBudgetRow(next)
        const result = await access.commitOnce({ conditions: [{ ...key, version: row.version }], puts: [{ ...key, value }] }, deadline)
        if (result.type === 'conflict') {
          account.row = { isKnown: true, row: result.rows.find(found => found.key === key.key) }
          continue
        }
        account.row = { isKnown: true, row: { ...key, value, version: result.version } }
        account.confirmGranted(next.granted[holder] ?? 0)
        log.info('budget-returned', { program, tokens, version: result.version })
        return
      }
      account.cancelReturn(tokens)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      account.row = { isKnown: false }
      // Without an answer the change may still be made, so the tokens are not spent before a later change of the row.
      log.warn('budget-not-returned', { program, tokens, cause: err.message })
    }
  }

  private _settle (account: BudgetAccount, reserved: number, spent: number): void {
    account.settle(reserved, spent)
    account.usedAt = this._options.clock.now()
  }

  /** Reserves from what the store has granted, asking for more once. */
  private async _reserveFromGrants (account: BudgetAccount, req: ReservationRequest, skipsFailedPart: boolean): Promise<Grant> {
    for (;;) {
      if (account.tryReserve(req.tokens)) return Grant.Granted
      if (account.isKnownSpent(req.tokens, this._options.clock.now())) return Grant.Spent
      let changing = this._changing.get(req.program)
      if (changing === undefined) {
        if (skipsFailedPart && this._parts.hasFailed(getBudgetKey(req.program).part, this._options.clock.now())) return Grant.Unreadable
        changing = this._change(req.program, async () => await this._grant(account, req))
      }
      const grant = await changing
      if (grant === Grant.Unreadable) return grant
    }
  }

  /** Borrows from the program's reserve. */
  private async _borrow (account: BudgetAccount, req: ReservationRequest): Promise<OpenLoan | undefined> {
    const { peers, log, onLoan } = this._options
    if (account.isReserveKnownSpent(req.tokens)) return undefined
    const result = await peers.borrow({ program: req.program, limit: req.limit, tokens: req.tokens })
    onLoan(result.type)
    log.info('reserve-asked', { req: req.req, program: req.program, tokens: req.tokens, result: result.type })
    if (result.type === 'lent') return result.loan
    if (result.type === 'spent' && result.isForGood) account.noteReserveSpent(req.tokens)
    return undefined
  }

  private async _grant (account: BudgetAccount, req: ReservationRequest): Promise<Grant> {
    const { clock, access } = this._options
    const key = getBudgetKey(req.program)
    let deadline = Math.min(req.deadline, clock.now() + GRANT_TRY_MS)
    try {
      let isFresh = !account.row.isKnown
      let row = account.row.isKnown ? account.row.row : await this._readRow(key, deadline)
      for (let hasCollected = false; ;) {
        const result = await this._tryGrant(account, req, key, row, deadline)
        this._parts.noteAnswer(key.part)
        if (result.type === 'changed') {
          row = result.row
          isFresh = true
          continue
        }
        if (result.grant !== Grant.Spent || hasCollected) return result.grant
        if (isFresh) {
          await this._collect(req, row)
          hasCollected = true
          deadline = Math.min(req.deadline, clock.now() + GRANT_TRY_MS)
        }
        row = await this._readRow(key, deadline)
        isFresh = true
      }
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      account.row = { isKnown: false }
      access.noteRetry(err)
      this._parts.noteFailure(key.part, clock.now())
      return Grant.Unreadable
    }
  }

  /** Collects tokens for a row that is spent: what other gateways do not need, then the rest of the reserve. */
  private async _collect (req: ReservationRequest, row: StoredRow | undefined): Promise<void> {
    const { peers, clock, access, log } = this._options
    await peers.recall(req.program, getGateways(decodeRow(row)))
    const closing = await peers.closeReserve(req.program)
    const reserveSpent = closing.type === 'closed' ? closing.spent : undefined
    log.info('budget-collected', { req: req.req, program: req.program, version: row?.version ?? 0, reserveSpent })
    if (reserveSpent === undefined) return
    const key = getBudgetKey(req.program)
    const deadline = Math.min(req.deadline, clock.now() + GRANT_TRY_MS)
    for (let tries = 0; tries < COLLECT_TRIES; tries++) {
      const current = await this._readRow(key, deadline)
      const budget = decodeRow(current)
      if (budget.reserveSpent !== undefined) return
      const result = await access.commitOnce({
        conditions: [{ ...key, version: current?.version ?? 0 }],
        puts: [{ ...key, value: encodeBudgetRow(planReserveClosing(budget, reserveSpent)) }]
      }, deadline)
      if (result.type === 'committed') return
    }
  }

  private async _tryGrant (
    account: BudgetAccount, req: ReservationRequest, key: RowKey, row: StoredRow | undefined, deadline: number
  ): Promise<{ type: 'done', grant: Grant } | { type: 'changed', row: StoredRow | undefined }> {
    const { holder, access, log } = this._options
    const budget = decodeRow(row)
    account.setGranted(budget.granted[holder] ?? 0)
    account.warmTarget = budget.target ?? account.warmTarget
    if (account.getAvailable() >= req.tokens) return { type: 'done', grant: Grant.Granted }
    const missing = Math.max(0, req.tokens - account.getAvailableOnceConfirmed())
    const limit = getGrantableTokens(req.limit, budget)
    const plan = planGrant(budget, { holder, limit, missing, target: req.chooseTarget(account.warmTarget) })
    if (plan.type === 'spent') {
      account.noteLeft(limit - plan.granted, this._options.clock.now())
      const { req: id, program } = req
      log.info('budget-spent', { req: id, program, limit: req.limit, grantable: limit, granted: plan.granted, version: row?.version ?? 0 })
      return { type: 'done', grant: Grant.Spent }
    }
    account.noteAsked()
    const conditions = [{ ...key, version: row?.version ?? 0 }]
    const value = encodeBudgetRow(plan.next)
    const result = await access.commitOnce({ conditions, puts: [{ ...key, value }] }, deadline)
    if (result.type === 'conflict') return { type: 'changed', row: result.rows.find(found => found.key === key.key) }
    account.row = { isKnown: true, row: { ...key, value, version: result.version } }
    account.confirmGranted(plan.next.granted[holder] ?? 0)
    account.warmTarget = plan.next.target
    return { type: 'done', grant: Grant.Granted }
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

/** Decodes the row of a program; one that has no row was granted nothing. */
function decodeRow (row: StoredRow | undefined): BudgetRow {
  return row === undefined ? { granted: {} } : decodeBudgetRow(row)
}

/** Gets the ids of the gateways that hold grants of a budget. */
function getGateways (budget: BudgetRow): string[] {
  const holders = Object.entries(budget.granted).filter(([, tokens]) => tokens > 0)
  return [...new Set(holders.map(([holder]) => holder.slice(0, holder.lastIndexOf('/'))))]
}
