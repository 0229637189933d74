import type { Clock } from '../../core/clock/index.js'
import {
  decodeBudgetRow, encodeBudgetRow, getBudgetKey, getGrantableTokens, planGrant, planReserveClosing, planReturn,
  type BudgetAccount, type BudgetRow
} from '../../core/budget/index.js'
import { RowDecodeError, StoreError, StoreFailure, type PartitionHealth, type RowKey, type StoredRow } from '../../core/platform/index.js'
import type { BudgetPeers } from '../peer/index.js'
import type { DecisionLog } from '../process/index.js'
import type { ReservationRequest } from './BudgetStore.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds for returning a grant, over all tries; a turn of the program that arrives meanwhile waits. */
const RETURN_TIMEOUT_MS = 400

/** Tries to return a grant while other gateways change the row. */
const RETURN_TRIES = 3

/** Tries to record a closed reserve while other gateways change the row. */
const COLLECT_TRIES = 3

/** Milliseconds for one try of a grant; a store that is sixty times slower than usual still responds in time. */
const GRANT_TRY_MS = 400

/** Outcome of requesting a grant from the store. */
export const Grant = { Granted: 'granted', Spent: 'spent', Unreadable: 'unreadable' } as const
export type Grant = typeof Grant[keyof typeof Grant]

/** Options of {@link BudgetRows}. */
export interface BudgetRowsOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  /** Unique name of this run of the gateway; begins with the gateway's id and a slash. */
  readonly holder: string
  /** Client of the other gateways, which hold reserves and grants. */
  readonly peers: Pick<BudgetPeers, 'closeReserve' | 'recall'>
  /** Partitions of the table that failed recently. */
  readonly partitions: PartitionHealth
}

/** Changes the budget rows in the store, each by one compare-and-set; the calling code makes one change of a program's row at a time. */
export class BudgetRows {
  private readonly _options: BudgetRowsOptions

  constructor (options: BudgetRowsOptions) {
    this._options = options
  }

  /** Requests from the store the tokens that an account lacks for a turn. */
  async grant (account: BudgetAccount, req: ReservationRequest): Promise<Grant> {
    const { clock, access, partitions, log } = this._options
    const key = getBudgetKey(req.program)
    let deadline = Math.min(req.deadline, clock.now() + GRANT_TRY_MS)
    try {
      let isFresh = !account.row.isKnown
      let row = account.row.isKnown ? account.row.row : await this._readRow(key, deadline)
      for (let hasCollected = false; ;) {
        const result = await this._tryGrant(account, req, key, row, deadline)
        partitions.recordResponse(key.part)
        if (result.type === 'changed') {
          row = result.row
          isFresh = true
          continue
        }
        if (result.grant !== Grant.Spent || hasCollected) return result.grant
        if (isFresh) {
          await this._collectTokens(req, row)
          hasCollected = true
          deadline = Math.min(req.deadline, clock.now() + GRANT_TRY_MS)
        }
        row = await this._readRow(key, deadline)
        isFresh = true
      }
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      account.row = { isKnown: false }
      access.recordRetry(err)
      if (err instanceof RowDecodeError) log.warn('budget-row-rejected', { req: req.req, program: req.program, cause: err.message })
      else partitions.recordFailure(key.part, clock.now())
      return Grant.Unreadable
    }
  }

  /** Makes tokens grantable for a row that is spent: the unused grants of other gateways, then the remaining tokens of the reserve. */
  private async _collectTokens (req: ReservationRequest, row: StoredRow | undefined): Promise<void> {
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
    // A gateway returns the grant of a turn that has not run, so tokens that others keep granted are spent or in use.
    if (Object.entries(budget.granted).some(([other, tokens]) => other !== holder && tokens > 0)) account.hasEarlierTurns = true
    if (account.getAvailable() >= req.tokens) return { type: 'done', grant: Grant.Granted }
    const missing = Math.max(0, req.tokens - account.getAvailableOnceConfirmed())
    const limit = getGrantableTokens(req.limit, budget)
    const plan = planGrant(budget, { holder, limit, missing, target: req.chooseTarget(account.warmTarget) })
    if (plan.type === 'spent') {
      account.recordRemaining(limit - plan.granted, this._options.clock.now())
      const { req: id, program } = req
      log.info('budget-spent', { req: id, program, limit: req.limit, grantable: limit, granted: plan.granted, version: row?.version ?? 0 })
      return { type: 'done', grant: Grant.Spent }
    }
    account.recordGrantRequest()
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

  /** Returns the unused tokens of an account to the store's row. */
  async returnGrant (program: string, account: BudgetAccount): Promise<void> {
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
      // Without a response the change may still be applied, so the tokens aren't spent before a later change of the row.
      if (err.failure !== StoreFailure.NoResponse) account.cancelReturn(tokens)
      else account.row = { isKnown: false }
      log.warn('budget-not-returned', { program, tokens, cause: err.message })
    }
  }
}

/** Decodes the row of a program; a program without a row has no grants. */
function decodeRow (row: StoredRow | undefined): BudgetRow {
  return row === undefined ? { granted: {} } : decodeBudgetRow(row)
}

/** Gets the ids of the gateways that hold grants of a budget. */
function getGateways (budget: BudgetRow): string[] {
  const holders = Object.entries(budget.granted).filter(([, tokens]) => tokens > 0)
  return [...new Set(holders.map(([holder]) => holder.slice(0, holder.lastIndexOf('/'))))]
}
