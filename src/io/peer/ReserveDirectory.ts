import type { Clock } from '../../core/clock/index.js'
import type { Peer } from '../../core/peer/index.js'
import type { RowStore } from '../../core/platform/index.js'
import {
  decodeHolders, getReserveSlot, planClaims, RESERVE_SLOTS, RESERVE_TABLE,
  type Loan, type LoanRequest, type ReserveLender, type SlotHolders
} from '../../core/reserve/index.js'
import type { DecisionLog } from '../process/index.js'
import { PeerClient } from './PeerClient.js'

/** Milliseconds for one call of the store. */
const STORE_TIMEOUT_MS = 1_000

/** Milliseconds for one call of a holder; a round trip between regions and a busy peer. */
const HOLDER_TIMEOUT_MS = 400

/** Milliseconds for which a holder that did not answer is not asked. */
const HOLDER_PENALTY_MS = 2_000

/** Options of {@link ReserveDirectory}. */
export interface ReserveDirectoryOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly log: DecisionLog
  readonly ownId: string
  /** The reserves that this gateway holds. */
  readonly own: ReserveLender
}

interface Holder {
  readonly peer: Peer
  readonly client: PeerClient
  failedAt: number
}

/** A loan with the way to settle it. */
export interface OpenLoan {
  /** Ends the loan with what was spent. */
  readonly settle: (spent: number) => void
}

/** Outcome of {@link ReserveDirectory.borrow}. */
export type BorrowResult = { readonly type: 'lent', readonly loan: OpenLoan } | Exclude<Loan, { readonly type: 'lent' }>

/** Finds the gateway that holds a program's reserve, and borrows from it. */
export class ReserveDirectory {
  private readonly _options: ReserveDirectoryOptions
  private _slots: SlotHolders = new Map()
  private readonly _holders = new Map<string, Holder>()

  constructor (options: ReserveDirectoryOptions) {
    this._options = options
  }

  /** Takes the gateways that are known; claims and reads slots until each has its holder. */
  async setPeers (peers: readonly Peer[], isSettled: boolean): Promise<void> {
    for (const peer of peers) this._setHolder(peer)
    if (this._slots.size === RESERVE_SLOTS) return
    await this._readSlots()
    if (!isSettled || this._slots.size === RESERVE_SLOTS) return
    const { ownId, store, log } = this._options
    for (const claim of planClaims(ownId, peers.map(peer => peer.id), this._slots)) {
      const result = await store.commit(claim, { timeoutMs: STORE_TIMEOUT_MS })
      log.info('reserves-claimed', { slots: claim.puts?.length, result: result.type })
    }
    await this._readSlots()
  }

  /** Borrows the most that a turn may spend. */
  async borrow (req: LoanRequest): Promise<BorrowResult> {
    const { ownId, own } = this._options
    const holderId = this._slots.get(getReserveSlot(req.program))
    if (holderId === undefined) return { type: 'unavailable' }
    if (holderId === ownId) return toResult(own.lend(req), (loan, spent) => { own.settle(loan, spent) })
    const holder = this._holders.get(holderId)
    if (holder === undefined) return { type: 'unavailable' }
    return await this._borrowFrom(holder, req)
  }

  private async _borrowFrom (holder: Holder, req: LoanRequest): Promise<BorrowResult> {
    const { clock, log } = this._options
    if (clock.now() - holder.failedAt < HOLDER_PENALTY_MS) return { type: 'unavailable' }
    try {
      const answer = await holder.client.procedures.lend.mutate(req, { signal: AbortSignal.timeout(HOLDER_TIMEOUT_MS) })
      return toResult(answer, (loan, spent) => { void this._settle(holder, loan, spent) })
    } catch (err) {
      holder.failedAt = clock.now()
      log.warn('reserve-holder-lost', { holder: holder.peer.id, program: req.program, cause: String(err) })
      return { type: 'unavailable' }
    }
  }

  private async _settle (holder: Holder, loan: string, spent: number): Promise<void> {
    try {
      await holder.client.procedures.settle.mutate({ loan, spent }, { signal: AbortSignal.timeout(HOLDER_TIMEOUT_MS) })
    } catch (err) {
      // The holder counts the loan in full.
      this._options.log.warn('loan-not-settled', { holder: holder.peer.id, loan, cause: String(err) })
    }
  }

  private async _readSlots (): Promise<void> {
    const { rows } = await this._options.store.read({ table: RESERVE_TABLE, part: '' }, { timeoutMs: STORE_TIMEOUT_MS })
    this._slots = decodeHolders(rows)
  }

  private _setHolder (peer: Peer): void {
    const known = this._holders.get(peer.id)
    if (known?.peer.address === peer.address) return
    void known?.client.close()
    this._holders.set(peer.id, { peer, client: new PeerClient(peer), failedAt: -Infinity })
  }
}

function toResult (answer: Loan, settle: (loan: string, spent: number) => void): BorrowResult {
  if (answer.type !== 'lent') return answer
  return { type: 'lent', loan: { settle: spent => { settle(answer.loan, spent) } } }
}
