import type { Clock } from '../../core/clock/index.js'
import type { Peer } from '../../core/peer/index.js'
import type { RowStore } from '../../core/platform/index.js'
import {
  decodeHolders, getReserveSlot, planClaims, RESERVE_SLOTS, RESERVE_TABLE,
  type ClosingResult, type LoanResult, type LoanRequest, type ReserveLender, type SlotHolders
} from '../../core/reserve/index.js'
import type { DecisionLog } from '../process/index.js'
import { PeerClient } from './PeerClient.js'

/** Milliseconds for one call of the store. */
const STORE_TIMEOUT_MS = 1_000

/** Milliseconds for one call of a peer; a round trip between regions and a busy peer. */
const PEER_TIMEOUT_MS = 400

/** Milliseconds for which a peer that did not answer is not asked; they double with each further failure. */
const PEER_BACKOFF_MS = 1_000

/** Longest time for which it is not asked, in milliseconds; a machine may be gone for good. */
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

/** A loan with the way to settle it. */
export interface OpenLoan {
  /** Ends the loan with what was spent. */
  readonly settle: (spent: number) => void
}

/** Outcome of {@link BudgetPeers.borrow}. */
export type BorrowResult = { readonly type: 'lent', readonly loan: OpenLoan } | Exclude<LoanResult, { readonly type: 'lent' }>

/** Asks other gateways for tokens: of the reserves that they hold, and of grants that they do not need. */
export class BudgetPeers {
  private readonly _options: BudgetPeersOptions
  private _slots: SlotHolders = new Map()
  private readonly _peers = new Map<string, PeerState>()

  constructor (options: BudgetPeersOptions) {
    this._options = options
  }

  /** Takes the gateways that are known; claims and reads slots until each has its holder. */
  async setPeers (peers: readonly Peer[], isSettled: boolean): Promise<void> {
    for (const peer of peers) this._setPeer(peer)
    if (this._slots.size === RESERVE_SLOTS) return
    await this._readSlots()
    if (!isSettled || this._slots.size === RESERVE_SLOTS) return
    const { localId: localId, store, log } = this._options
    for (const claim of planClaims(localId, peers.map(peer => peer.id), this._slots)) {
      const result = await store.commit(claim, { timeoutMs: STORE_TIMEOUT_MS })
      log.info('reserves-claimed', { slots: claim.puts?.length, result: result.type })
    }
    await this._readSlots()
  }

  /** Borrows the most that a turn may spend. */
  async borrow (req: LoanRequest): Promise<BorrowResult> {
    const { localId: localId, reserves: reserves } = this._options
    const holderId = this._slots.get(getReserveSlot(req.program))
    if (holderId === undefined) return { type: 'unavailable' }
    if (holderId === localId) return toResult(reserves.lend(req), (loan, spent) => { reserves.settle(loan, spent) })
    const holder = this._peers.get(holderId)
    if (holder === undefined || this._isBackingOff(holder)) return { type: 'unavailable' }
    return await this._borrowFrom(holder, req)
  }

  /** Makes the holder of a program's reserve lend nothing any more. */
  async closeReserve (program: string): Promise<ClosingResult> {
    const { localId: localId, reserves: reserves } = this._options
    const holderId = this._slots.get(getReserveSlot(program))
    if (holderId === localId) return reserves.close(program)
    const holder = this._peers.get(holderId ?? '')
    if (holder === undefined || this._isBackingOff(holder)) return { type: 'unavailable' }
    try {
      return await holder.client.procedures.closeReserve.mutate({ program }, { signal: AbortSignal.timeout(PEER_TIMEOUT_MS) })
    } catch (err) {
      this._recordPeerFailure(holder, program, err)
      return { type: 'unavailable' }
    }
  }

  /** Asks gateways to give back to the store what they do not need of a program's budget; resolves when they have answered. */
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
      // The holder counts the loan in full.
      this._options.log.warn('loan-not-settled', { holder: state.peer.id, loan, cause: String(err) })
    }
  }

  private _isBackingOff (state: PeerState): boolean {
    return this._options.clock.now() < state.backoffUntil
  }

  private _recordPeerFailure (state: PeerState, program: string, err: unknown): void {
    const now = this._options.clock.now()
    // Calls that were under way together count as one failure.
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
