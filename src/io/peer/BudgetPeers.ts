import type { Clock } from '../../core/clock/index.js'
import type { Peer } from '../../core/peer/index.js'
import type { RowStore } from '../../core/platform/index.js'
import {
  decodeHolders, getReserveSlot, planClaims, RESERVE_SLOTS, RESERVE_TABLE,
  type ClosingResult, type LoanResult, type LoanRequest, type ReserveLender, type SlotHolders
} from '../../core/reserve/index.js'
import type { DecisionLog } from '../process/index.js'
import { PeerClient } from './PeerClient.js'

/** Time-out of one call to the store, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000

/** Time-out of one call to a peer, in milliseconds; allows for a round trip between regions and a busy peer. */
const PEER_TIMEOUT_MS = 400

/** Milliseconds without calls to a peer after a failed call; they double with each further failure. */
const PEER_BACKOFF_MS = 1_000

/** Longest back-off, in milliseconds; the peer's machine may have been removed permanently. */
const MAX_PEER_BACKOFF_MS = 30_000

/** Options of {@link BudgetPeers}. */
export interface BudgetPeersOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly log: DecisionLog
  readonly localId: string
  /** The reserves that this gateway holds. */
  readonly reserves: ReserveLender
}

interface PeerState {
  readonly peer: Peer
  readonly client: PeerClient
  backoffMs: number
  backoffUntil: number
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
  private readonly _peers = new Map<string, PeerState>()

  constructor (options: BudgetPeersOptions) {
    this._options = options
  }

  /** Applies the list of gateways, then reads and claims reserve slots until every slot has a holder. */
  async setPeers (peers: readonly Peer[], isSettled: boolean): Promise<void> {
    for (const peer of peers) this._setPeer(peer)
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
    const holder = this._peers.get(holderId)
    if (holder === undefined || this._isBackingOff(holder)) return { type: 'unavailable' }
    return await this._borrowFrom(holder, req)
  }

  /** Closes a program's reserve at its holder, which then makes no more loans from it. */
  async closeReserve (program: string): Promise<ClosingResult> {
    const { localId, reserves } = this._options
    const holderId = this._slots.get(getReserveSlot(program))
    if (holderId === localId) return reserves.closeReserve(program)
    const holder = this._peers.get(holderId ?? '')
    if (holder === undefined || this._isBackingOff(holder)) return { type: 'unavailable' }
    try {
      return await holder.client.procedures.closeReserve.mutate({ program }, { signal: AbortSignal.timeout(PEER_TIMEOUT_MS) })
    } catch (err) {
      this._recordPeerFailure(holder, program, err)
      return { type: 'unavailable' }
    }
  }

  /** Requests that gateways return unused grants of a program's budget to the store; resolves when each has responded or failed. */
  async recall (program: string, gateways: readonly string[]): Promise<void> {
    await Promise.all(gateways.map(async id => {
      const state = this._peers.get(id)
      if (state === undefined || id === this._options.localId || this._isBackingOff(state)) return
      try {
        await state.client.procedures.returnUnused.mutate({ program }, { signal: AbortSignal.timeout(PEER_TIMEOUT_MS) })
      } catch (err) {
        this._recordPeerFailure(state, program, err)
      }
    }))
  }

  private async _borrowFrom (state: PeerState, req: LoanRequest): Promise<BorrowResult> {
    try {
      const result = await state.client.procedures.lend.mutate(req, { signal: AbortSignal.timeout(PEER_TIMEOUT_MS) })
      return toResult(result, (loan, spent) => { void this._settle(state, loan, spent) })
    } catch (err) {
      this._recordPeerFailure(state, req.program, err)
      return { type: 'unavailable' }
    }
  }

  private async _settle (state: PeerState, loan: string, spent: number): Promise<void> {
    try {
      await state.client.procedures.settle.mutate({ loan, spent }, { signal: AbortSignal.timeout(PEER_TIMEOUT_MS) })
    } catch (err) {
      // The holder counts a loan without settlement as spent in full.
      this._options.log.warn('loan-not-settled', { holder: state.peer.id, loan, cause: String(err) })
    }
  }

  private _isBackingOff (state: PeerState): boolean {
    return this._options.clock.now() < state.backoffUntil
  }

  private _recordPeerFailure (state: PeerState, program: string, err: unknown): void {
    const now = this._options.clock.now()
    // Concurrent calls that fail together count as one failure.
    if (now >= state.backoffUntil) {
      state.backoffUntil = now + state.backoffMs
      state.backoffMs = Math.min(MAX_PEER_BACKOFF_MS, 2 * state.backoffMs)
    }
    this._options.log.warn('budget-peer-lost', { peer: state.peer.id, program, cause: String(err) })
  }

  private async _readSlots (): Promise<void> {
    const { rows } = await this._options.store.read({ table: RESERVE_TABLE, part: '' }, { timeoutMs: STORE_TIMEOUT_MS })
    this._slots = decodeHolders(rows)
    this._options.log.info('reserves-known', { slots: this._slots.size })
  }

  private _setPeer (peer: Peer): void {
    const existing = this._peers.get(peer.id)
    if (existing?.peer.address === peer.address) return
    void existing?.client.close()
    this._peers.set(peer.id, { peer, client: new PeerClient(peer), backoffMs: PEER_BACKOFF_MS, backoffUntil: -Infinity })
  }
}

function toResult (result: LoanResult, settle: (loan: string, spent: number) => void): BorrowResult {
  if (result.type !== 'lent') return result
  return { type: 'lent', loan: { settle: spent => { settle(result.loan, spent) } } }
}
