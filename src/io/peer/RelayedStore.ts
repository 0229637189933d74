import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { PEER_TABLE, type Peer, type PeerRanking } from '../../core/peer/index.js'
import {
  RowStore, StoreError, StoreFailure, StoreHealth,
  type CallOptions, type RowCommit, type RowFeed, type RowRange, type RowSnapshot, type RowTransaction
} from '../../core/platform/index.js'
import type { DecisionLog } from '../process/index.js'
import { PeerStore } from './PeerStore.js'

/** Peers that one call asks. */
const MAX_PEERS = 2

/** Milliseconds between two tries of the own way while it counts as cut. */
const PROBE_MS = 400

/** Milliseconds for one such try. */
const PROBE_TIMEOUT_MS = 700

/** Options of {@link RelayedStore}. */
export interface RelayedStoreOptions {
  /** The store without a detour. */
  readonly direct: RowStore
  readonly ranking: PeerRanking
  readonly clock: Clock
  readonly log: DecisionLog
  readonly onRelayed: () => void
}

/**
 * The store by the own way, or through a peer while that is cut.
 *
 * Answers outages and cuts that hit some machines only.
 */
export class RelayedStore extends RowStore {
  private readonly _options: RelayedStoreOptions
  private readonly _health = new StoreHealth()
  private readonly _peers = new Map<string, { readonly peer: Peer, readonly store: PeerStore }>()

  constructor (options: RelayedStoreOptions) {
    super()
    this._options = options
  }

  async commit (transaction: RowTransaction, options: CallOptions): Promise<RowCommit> {
    return await this._call(async store => await store.commit(transaction, options))
  }

  async read (range: RowRange, options: CallOptions): Promise<RowSnapshot> {
    return await this._call(async store => await store.read(range, options))
  }

  async watch (table: string, after: number, waitMs: number, options: CallOptions): Promise<RowFeed> {
    return await this._call(async store => await store.watch(table, after, waitMs, options))
  }

  /** Tells whether the own way is cut. */
  isCut (): boolean {
    return this._health.isAway()
  }

  private async _call<T> (call: (store: RowStore) => Promise<T>): Promise<T> {
    return this._health.isAway() ? await this._callPeers(call) : await this._callDirect(call)
  }

  private async _callDirect<T> (call: (store: RowStore) => Promise<T>): Promise<T> {
    const { direct, clock, log } = this._options
    try {
      const answer = await call(direct)
      if (this._health.noteAnswer(clock.now())) log.info('own-way-to-store-back')
      return answer
    } catch (err) {
      if (this._health.noteFailure()) {
        log.warn('own-way-to-store-cut', { cause: String(err) })
        void this._probe()
      }
      throw err
    }
  }

  /** Tries the own way until it is back. */
  private async _probe (): Promise<void> {
    const range = { table: PEER_TABLE, part: '', from: '', to: '\u0001' }
    while (this._health.isAway()) {
      await sleep(PROBE_MS)
      // A failed try is counted by the client like any other call.
      await this._callDirect(async store => await store.read(range, { timeoutMs: PROBE_TIMEOUT_MS })).catch(() => {})
    }
  }

  private async _callPeers<T> (call: (store: RowStore) => Promise<T>): Promise<T> {
    const { ranking, clock, onRelayed } = this._options
    let last: unknown = new StoreError(StoreFailure.Refused, 'No peer is known.')
    for (const peer of ranking.getCandidates(MAX_PEERS, clock.now())) {
      try {
        const answer = await call(this._getStore(peer))
        ranking.noteHelp(peer.id)
        onRelayed()
        return answer
      } catch (err) {
        ranking.noteFailure(peer.id, clock.now())
        last = err
        // Without an answer the call may have been made; whoever asked decides what may be repeated.
        if (!(err instanceof StoreError) || err.failure === StoreFailure.NoAnswer) throw err
      }
    }
    throw last
  }

  private _getStore (peer: Peer): PeerStore {
    const known = this._peers.get(peer.id)
    if (known?.peer.address === peer.address) return known.store
    void known?.store.close()
    const store = new PeerStore(peer)
    this._peers.set(peer.id, { peer, store })
    return store
  }
}
