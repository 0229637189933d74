import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { PEER_TABLE, type Peer, type PeerRanking } from '../../core/peer/index.js'
import {
  getPartitionOf, RowStore, StoreError, StoreFailure, StoreHealth,
  type CallOptions, type RowCommit, type RowFeed, type RowRange, type RowSnapshot, type RowTransaction, type StorePartition
} from '../../core/platform/index.js'
import type { DecisionLog } from '../process/index.js'
import { PeerStore } from './PeerStore.js'

/** Milliseconds between two looks for a way to the store while the own one is cut. */
const PROBE_INTERVAL_MS = 200

/** Milliseconds for one such look. */
const PROBE_TIMEOUT_MS = 700

/** Peers asked in one look. */
const PROBED_PEERS = 2

/** Parts that looks go to in turn: some may be away while the way to the others is open. */
const PROBED_PARTITIONS = 16

/** Options of {@link RelayedStore}. */
export interface RelayedStoreOptions {
  /** The store without a detour. */
  readonly direct: RowStore
  readonly ranking: PeerRanking
  readonly clock: Clock
  readonly log: DecisionLog
  readonly onRelayed: () => void
}

interface RelayPeer {
  readonly peer: Peer
  readonly store: PeerStore
}

/**
 * The store by the own way, or through a peer while that is cut.
 *
 * Answers outages and cuts that hit some machines only. A peer is used once a small read has shown that it reaches the store, so that an
 * outage for all costs no more than these reads.
 */
export class RelayedStore extends RowStore {
  private readonly _options: RelayedStoreOptions
  private readonly _health = new StoreHealth()
  private readonly _relayPeers = new Map<string, RelayPeer>()
  private _relayPeer: RelayPeer | undefined
  private _isSearching = false
  private _probes = 0

  constructor (options: RelayedStoreOptions) {
    super()
    this._options = options
  }

  async commit (transaction: RowTransaction, options: CallOptions): Promise<RowCommit> {
    return await this._call(getPartitionOf(transaction), async store => await store.commit(transaction, options))
  }

  async read (range: RowRange, options: CallOptions): Promise<RowSnapshot> {
    return await this._call(range, async store => await store.read(range, options))
  }

  async watch (table: string, after: number, waitMs: number, options: CallOptions): Promise<RowFeed> {
    return await this._call({ table, part: '' }, async store => await store.watch(table, after, waitMs, options))
  }

  /** Tells whether the own way is cut. */
  isDirectUnavailable (): boolean {
    return this._health.isUnavailable()
  }

  private async _call<T> (partition: StorePartition, call: (store: RowStore) => Promise<T>): Promise<T> {
    if (!this.isDirectUnavailable()) return await this._callDirect(partition, call)
    if (this._relayPeer === undefined) throw new StoreError(StoreFailure.Refused, 'Neither this gateway nor a peer reaches the store.')
    return await this._callRelayPeer(this._relayPeer, call)
  }

  private async _callDirect<T> (partition: StorePartition, call: (store: RowStore) => Promise<T>): Promise<T> {
    const { direct, clock, log } = this._options
    try {
      const response = await call(direct)
      if (this._health.recordResponse(clock.now())) log.info('own-way-to-store-back')
      return response
    } catch (err) {
      if (this._health.recordFailure(clock.now(), partition)) {
        log.warn('own-way-to-store-cut', { cause: String(err) })
        void this._probeUntilAvailable()
      }
      throw err
    }
  }

  private async _callRelayPeer<T> (relayPeer: RelayPeer, call: (store: RowStore) => Promise<T>): Promise<T> {
    const { ranking, clock, log, onRelayed } = this._options
    try {
      const response = await call(relayPeer.store)
      onRelayed()
      return response
    } catch (err) {
      ranking.recordFailure(relayPeer.peer.id, clock.now())
      if (this._relayPeer === relayPeer) {
        this._relayPeer = undefined
        log.warn('peer-lost', { peer: relayPeer.peer.id, cause: String(err) })
      }
      throw err
    }
  }

  /** Looks for a peer that reaches the store, and for the return of the own way, until it is back. */
  private async _probeUntilAvailable (): Promise<void> {
    const probe = async (store: RowStore): Promise<RowSnapshot> => {
      return await store.read(getProbeRange(++this._probes), { timeoutMs: PROBE_TIMEOUT_MS })
    }
    while (this.isDirectUnavailable()) {
      // Peers that do not answer must not delay the look at the own way.
      if (this._relayPeer === undefined && !this._isSearching) void this._findRelayPeer(probe)
      await sleep(PROBE_INTERVAL_MS)
      // A failed look is counted and logged where the calls of the store are.
      await this._callDirect(getProbeRange(this._probes), probe).catch(() => {})
    }
    this._relayPeer = undefined
  }

  private async _findRelayPeer (probe: (store: RowStore) => Promise<RowSnapshot>): Promise<void> {
    const { ranking, clock, log } = this._options
    this._isSearching = true
    for (const peer of ranking.getCandidates(PROBED_PEERS, clock.now())) {
      if (this._relayPeer !== undefined || !this.isDirectUnavailable()) break
      const relayPeer = this._getRelayPeer(peer)
      try {
        await probe(relayPeer.store)
        ranking.recordSuccess(peer.id)
        if (!this.isDirectUnavailable()) break
        this._relayPeer = relayPeer
        log.info('peer-found', { peer: peer.id, address: peer.address })
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        ranking.recordFailure(peer.id, clock.now())
      }
    }
    this._isSearching = false
  }

  private _getRelayPeer (peer: Peer): RelayPeer {
    const existing = this._relayPeers.get(peer.id)
    if (existing?.peer.address === peer.address) return existing
    void existing?.store.close()
    const relayPeer = { peer, store: new PeerStore(peer) }
    this._relayPeers.set(peer.id, relayPeer)
    return relayPeer
  }
}

/** Gets a range without rows, which costs next to nothing to read. */
function getProbeRange (probeNumber: number): RowRange {
  return { table: PEER_TABLE, part: String(probeNumber % PROBED_PARTITIONS), from: '', to: '\u0001' }
}
