import { setTimeout as sleepFor } from 'node:timers/promises'
import type { AgeClock, Clock, Moment } from '../../core/clock/index.js'
import { decodePeer, encodePeer, getPeerKey, PEER_TABLE, type Peer, type PeerRanking } from '../../core/peer/index.js'
import { StoreError, type RowSnapshot, type RowStore } from '../../core/platform/index.js'
import type { QuotaHolders } from '../../core/quota/index.js'
import type { DecisionLog } from '../process/index.js'

/** Milliseconds between two reads of the list; it changes when machines are added or removed, not with requests. */
const READ_INTERVAL_MS = 10_000

/** Milliseconds after the first read before the list is read again, so that gateways that start at the same time find each other. */
const SETTLE_DELAY_MS = 1_000

/** Longest time in milliseconds in which the first registration is dated; after a longer one the time that it states is too early. */
const MAX_REGISTRATION_MS = 1_000

/** Milliseconds between two attempts while the store is unavailable. */
const RETRY_INTERVAL_MS = 500

/** Time-out of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000

/** Options of {@link PeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly log: DecisionLog
  readonly ranking: PeerRanking
  readonly ages: AgeClock
  /** Receives every read of the list and every failure of one. */
  readonly quotaHolders: Pick<QuotaHolders, 'setPeers' | 'recordFailure' | 'getReadDelayMs'>
  /**
   * Called after registration; `hasPredecessor` is true if a gateway with the same id had registered before. It is called again if it
   * rejects with a {@link StoreError}.
   */
  readonly onRegistered: (hasPredecessor: boolean) => Promise<void>
  /**
   * Called with the list after each read; `isSettled` is true once gateways that started at the same time are in it, and `hasPredecessor`
   * if others may already have this gateway in their list.
   */
  readonly onPeers: (peers: readonly Peer[], isSettled: boolean, hasPredecessor: boolean) => Promise<void>
}

/** Registers the address of this gateway in the store and reads the addresses of its peers. */
export class PeerDirectory {
  private readonly _options: PeerDirectoryOptions
  private _peerCount = 0
  private _rejectedRows = 0

  constructor (options: PeerDirectoryOptions) {
    this._options = options
  }

  /** Registers this gateway, then polls the list for as long as the process runs. */
  async run (localPeer: Peer): Promise<void> {
    let earlier: Peer | undefined
    await this._retryUntilDone(async () => { earlier = await this._register(localPeer) })
    const hasPredecessor = earlier !== undefined
    await this._retryUntilDone(async () => { await this._options.onRegistered(hasPredecessor) })
    await this._retryUntilDone(async () => { await this._read(false, hasPredecessor) })
    await sleep(SETTLE_DELAY_MS)
    const isDated = earlier !== undefined && earlier.firstSeenAt !== Infinity
    for (let isFirst = true; ; isFirst = false) {
      await this._retryUntilDone(async () => { await this._read(true, hasPredecessor) })
      // In the background: nothing but the shares of quotas waits for it.
      if (isFirst && !isDated) void this._retryUntilDone(async () => { await this._writeFirstSeen(localPeer) })
      await this._awaitNextRead()
    }
  }

  /** Waits until the next read is due; reads the list for the shares of quotas meanwhile where these change. */
  private async _awaitNextRead (): Promise<void> {
    const { clock, quotaHolders } = this._options
    const dueAt = clock.now() + READ_INTERVAL_MS
    for (;;) {
      const leftMs = dueAt - clock.now()
      const delayMs = quotaHolders.getReadDelayMs()
      if (delayMs >= leftMs) {
        await sleep(Math.max(0, leftMs))
        return
      }
      await sleep(delayMs)
      await this._retryUntilDone(async () => { await this._readList() })
    }
  }

  /** Writes the address; returns the earlier registration of a gateway with the same id, if there was one. */
  private async _register (localPeer: Peer): Promise<Peer | undefined> {
    const { store } = this._options
    const key = getPeerKey(localPeer.id)
    const value = encodePeer({ ...localPeer, firstSeenAt: Infinity })
    const result = await store.commit({ conditions: [{ ...key, version: 0 }], puts: [{ ...key, value }] }, { timeoutMs: CALL_TIMEOUT_MS })
    if (result.type === 'committed') return undefined
    const earlier = result.rows.map(decodePeer).find(peer => peer?.id === localPeer.id) ?? localPeer
    const puts = [{ ...key, value: encodePeer({ ...localPeer, firstSeenAt: earlier.firstSeenAt }) }]
    await store.commit({ puts }, { timeoutMs: CALL_TIMEOUT_MS })
    return earlier
  }

  /** Writes the time of the first registration, from which it is certain when all others know it. */
  private async _writeFirstSeen (localPeer: Peer): Promise<void> {
    const { store, ages } = this._options
    for (;;) {
      const startedAt = ages.mark()
      const { timeMs } = await store.read({ table: PEER_TABLE, part: '' }, { timeoutMs: CALL_TIMEOUT_MS })
      const puts = [{ ...getPeerKey(localPeer.id), value: encodePeer({ ...localPeer, firstSeenAt: timeMs }) }]
      await store.commit({ puts }, { timeoutMs: CALL_TIMEOUT_MS })
      if (ages.getAgeMs(startedAt) <= MAX_REGISTRATION_MS) return
    }
  }

  private async _read (isSettled: boolean, hasPredecessor: boolean): Promise<void> {
    const { ranking, log, onPeers } = this._options
    const peers = await this._readList()
    ranking.setPeers(peers)
    if (peers.length !== this._peerCount) log.info('peers-known', { peers: peers.map(peer => peer.id) })
    this._peerCount = peers.length
    await onPeers(peers, isSettled, hasPredecessor)
  }

  private async _readList (): Promise<readonly Peer[]> {
    const { log, ages, quotaHolders } = this._options
    const startedAt = ages.mark()
    const { rows, timeMs } = await this._readRows(startedAt)
    const peers = rows.map(decodePeer).filter(peer => peer !== undefined)
    const rejected = rows.length - peers.length
    if (rejected !== this._rejectedRows) log.warn('peer-rows-rejected', { rows: rows.filter(row => decodePeer(row) === undefined).map(row => row.key) })
    this._rejectedRows = rejected
    quotaHolders.setPeers(peers, startedAt, timeMs)
    return peers
  }

  private async _readRows (startedAt: Moment): Promise<RowSnapshot> {
    const { store, quotaHolders } = this._options
    try {
      return await store.read({ table: PEER_TABLE, part: '' }, { timeoutMs: CALL_TIMEOUT_MS })
    } catch (err) {
      quotaHolders.recordFailure(startedAt)
      throw err
    }
  }

  private async _retryUntilDone (step: () => Promise<void>): Promise<void> {
    for (;;) {
      try {
        await step()
        return
      } catch (err) {
        if (!(err instanceof StoreError)) this._options.log.warn('peer-list-failed', { cause: err instanceof Error ? err.stack : String(err) })
        await sleep(RETRY_INTERVAL_MS)
      }
    }
  }
}

/** Waits without keeping the process alive. */
async function sleep (ms: number): Promise<void> {
  await sleepFor(ms, undefined, { ref: false })
}
