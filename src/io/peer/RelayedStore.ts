import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { PEER_TABLE, type Peer, type PeerRanking } from '../../core/peer/index.js'
import {
  getPartitionOf, RowStore, StoreError, StoreFailure, StoreHealth, UNAVAILABLE_AFTER_PARTITIONS,
  type CallOptions, type RowCommit, type RowFeed, type RowRange, type RowSnapshot, type RowTransaction, type StorePartition
} from '../../core/platform/index.js'
import type { DecisionLog } from '../process/index.js'
import { PeerStore } from './PeerStore.js'

/** Milliseconds between two probes while the direct connection to the store is unavailable. */
const PROBE_INTERVAL_MS = 200

/** Time-out of one probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 700

/** Peers that one search probes. */
const PROBED_PEERS = 2

/** Partitions that probes read in turn: some may be unavailable while the others are reachable. */
const PROBED_PARTITIONS = 16

/** Reads of one check of the direct connection, each in another partition: as many failures as an outage needs. */
const CHECK_READS = UNAVAILABLE_AFTER_PARTITIONS

/** Milliseconds between two checks at least: where only one partition is unavailable, checks find nothing and go on as long as it is. */
const CHECK_INTERVAL_MS = 1_000

/** Options of {@link RelayedStore}. */
export interface RelayedStoreOptions {
  /** The store by the direct connection. */
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
 * Calls the store directly, or through a peer while the direct connection is unavailable.
 *
 * Handles outages and network partitions that affect only some machines. A peer relays calls only after a small read through it has
 * succeeded, so that an outage that affects all machines costs no more than these reads.
 */
export class RelayedStore extends RowStore {
  private readonly _options: RelayedStoreOptions
  private readonly _health = new StoreHealth()
  private readonly _relayPeers = new Map<string, RelayPeer>()
  private _relayPeer: RelayPeer | undefined
  private _isSearching = false
  private _checkedAt = -Infinity
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

  /** Checks whether the direct connection to the store is unavailable. */
  isDirectUnavailable (): boolean {
    return this._health.isUnavailable()
  }

  /** Checks the direct connection by reads at once, so that a silent one is noticed before calls of several tables have timed out. */
  checkDirect (): void {
    const now = this._options.clock.now()
    if (this.isDirectUnavailable() || now - this._checkedAt < CHECK_INTERVAL_MS) return
    this._checkedAt = now
    for (let read = 0; read < CHECK_READS; read++) {
      const range = getProbeRange(++this._probes)
      // Failures are counted and logged with the other calls to the store.
      void this._callDirect(range, async store => await store.read(range, { timeoutMs: PROBE_TIMEOUT_MS })).catch(() => {})
    }
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
      if (this._health.recordResponse(clock.now())) log.info('store-connection-restored')
      return response
    } catch (err) {
      if (isRejected(err)) this._health.recordResponse(clock.now())
      else if (this._health.recordFailure(clock.now(), partition)) {
        log.warn('store-connection-lost', { cause: String(err) })
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
      if (isRejected(err)) throw err
      ranking.recordFailure(relayPeer.peer.id, clock.now())
      if (this._relayPeer === relayPeer) {
        this._relayPeer = undefined
        log.warn('peer-lost', { peer: relayPeer.peer.id, cause: String(err) })
      }
      throw err
    }
  }

  /** Probes the direct connection, and searches for a peer that reaches the store, until the direct connection is available again. */
  private async _probeUntilAvailable (): Promise<void> {
    const probe = async (store: RowStore): Promise<RowSnapshot> => {
      return await store.read(getProbeRange(++this._probes), { timeoutMs: PROBE_TIMEOUT_MS })
    }
    while (this.isDirectUnavailable()) {
      // Not awaited: peers that do not respond must not delay the probe of the direct connection.
      if (this._relayPeer === undefined && !this._isSearching) void this._findRelayPeer(probe)
      await sleep(PROBE_INTERVAL_MS)
      // Failed probes are counted and logged with the other calls to the store.
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

/** Checks whether the store responded that it accepts no such call. */
function isRejected (err: unknown): boolean {
  return err instanceof StoreError && err.failure === StoreFailure.Rejected
}

/** Gets a range without rows, which costs almost nothing to read. */
function getProbeRange (probeNumber: number): RowRange {
  return { table: PEER_TABLE, part: String(probeNumber % PROBED_PARTITIONS), from: '', to: '\u0001' }
}
