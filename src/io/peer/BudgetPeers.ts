import type { Peer } from '../../core/peer/index.js'
import type { RowStore } from '../../core/platform/index.js'
import {
  decodeHolders, getReserveSlot, planClaims, RESERVE_SLOTS, RESERVE_TABLE,
  type ClosingResult, type LoanResult, type LoanRequest, type ReserveLender, type SlotHolders
} from '../../core/reserve/index.js'
import type { DecisionLog } from '../process/index.js'
import type { PeerPool } from './PeerPool.js'

/** Time-out of one call to the store, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000

/** Options of {@link BudgetPeers}. */
export interface BudgetPeersOptions {
  readonly store: RowStore
  /** Clients of the peers. */
  readonly pool: PeerPool
  readonly log: DecisionLog
  readonly localId: string
  /** The reserves that this gateway holds. */
  readonly reserves: ReserveLender
}

/** A loan that has not been settled yet. */
export interface OpenLoan {
  /** Settles the loan with the tokens that were spent. */
  readonly settle: (spent: number) => void
}

/** Outcome of {@link BudgetPeers.borrow}. */
export type BorrowResult = { readonly type: 'lent', readonly loan: OpenLoan } | Exclude<LoanResult, { readonly type: 'lent' }>

/** Borrows tokens from the reserves that other gateways hold, and requests the return of their unused grants. */
export class BudgetPeers {
  private readonly _options: BudgetPeersOptions
  private _slots: SlotHolders = new Map()

  constructor (options: BudgetPeersOptions) {
    this._options = options
  }

  /** Applies the list of gateways, then reads and claims reserve slots until every slot has a holder. */
  async setPeers (peers: readonly Peer[], isSettled: boolean): Promise<void> {
    this._options.pool.setPeers(peers)
    if (this._slots.size === RESERVE_SLOTS) return
    await this._readSlots()
    if (!isSettled || this._slots.size === RESERVE_SLOTS) return
    const { localId, store, log } = this._options
    for (const claim of planClaims(localId, peers.map(peer => peer.id), this._slots)) {
      const result = await store.commit(claim, { timeoutMs: STORE_TIMEOUT_MS })
      log.info('reserves-claimed', { slots: claim.puts?.length, result: result.type })
    }
    await this._readSlots()
  }

  /** Borrows the maximum number of tokens that a turn may spend. */
  async borrow (req: LoanRequest): Promise<BorrowResult> {
    const { localId, reserves } = this._options
    const holderId = this._slots.get(getReserveSlot(req.program))
    if (holderId === undefined) return { type: 'unavailable' }
    if (holderId === localId) return toResult(reserves.lend(req), (loan, spent) => { reserves.settle(loan, spent) })
    return await this._borrowFrom(holderId, req)
  }

  /** Closes a program's reserve at its holder, which then makes no more loans from it. */
  async closeReserve (program: string): Promise<ClosingResult> {
    const { localId, reserves, pool } = this._options
    const holderId = this._slots.get(getReserveSlot(program))
    if (holderId === localId) return reserves.closeReserve(program)
    const result = await pool.call(holderId ?? '', { subject: program }, async (procedures, options) => {
      return await procedures.closeReserve.mutate({ program }, options)
    })
    return result ?? { type: 'unavailable' }
  }

  /** Requests that gateways return unused grants of a program's budget to the store; resolves when each has responded or failed. */
  async recall (program: string, gateways: readonly string[]): Promise<void> {
    const { pool, localId } = this._options
    await Promise.all(gateways.filter(id => id !== localId).map(async id => {
      await pool.call(id, { subject: program }, async (procedures, options) => {
        await procedures.returnUnused.mutate({ program }, options)
      })
    }))
  }

  private async _borrowFrom (holderId: string, req: LoanRequest): Promise<BorrowResult> {
    const result = await this._options.pool.call(holderId, { subject: req.program }, async (procedures, options) => {
      return await procedures.lend.mutate(req, options)
    })
    if (result === undefined) return { type: 'unavailable' }
    return toResult(result, (loan, spent) => { void this._settle(holderId, loan, spent) })
  }

  private async _settle (holderId: string, loan: string, spent: number): Promise<void> {
    // The holder counts a loan without settlement as spent in full.
    await this._options.pool.call(holderId, { subject: loan, ignoresBackoff: true }, async (procedures, options) => {
      await procedures.settle.mutate({ loan, spent }, options)
    })
  }

  private async _readSlots (): Promise<void> {
    const { rows } = await this._options.store.read({ table: RESERVE_TABLE, part: '' }, { timeoutMs: STORE_TIMEOUT_MS })
    this._slots = decodeHolders(rows)
    this._options.log.info('reserves-known', { slots: this._slots.size })
  }
}

function toResult (result: LoanResult, settle: (loan: string, spent: number) => void): BorrowResult {
  if (result.type !== 'lent') return result
  return { type: 'lent', loan: { settle: spent => { settle(result.loan, spent) } } }
}
