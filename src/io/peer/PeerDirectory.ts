import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { decodePeer, encodePeer, getPeerKey, PEER_TABLE, type Peer, type PeerRanking } from '../../core/peer/index.js'
import { StoreError, type RowStore } from '../../core/platform/index.js'
import type { DecisionLog } from '../process/index.js'

/** Milliseconds between two reads of the list; peers change with machines, not with requests. */
const READ_MS = 10_000

/** Milliseconds between two tries while the store does not answer. */
const RETRY_MS = 500

/** Milliseconds for one call. */
const CALL_TIMEOUT_MS = 1_000

/** Options of {@link PeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly log: DecisionLog
  readonly own: Peer
  readonly ranking: PeerRanking
}

/** Tells peers where this gateway listens, and learns where they do. */
export class PeerDirectory {
  private readonly _options: PeerDirectoryOptions
  private _known = 0

  constructor (options: PeerDirectoryOptions) {
    this._options = options
  }

  /** Registers this gateway, then follows the list for as long as the process runs. */
  async run (): Promise<void> {
    await this._untilDone(async () => { await this._register() })
    for (;;) {
      await this._untilDone(async () => { await this._read() })
      await sleep(READ_MS)
    }
  }

  private async _register (): Promise<void> {
    const { store, own } = this._options
    await store.commit({ puts: [{ ...getPeerKey(own.id), value: encodePeer(own) }] }, { timeoutMs: CALL_TIMEOUT_MS })
  }

  private async _read (): Promise<void> {
    const { store, ranking, log } = this._options
    const { rows } = await store.read({ table: PEER_TABLE, part: '' }, { timeoutMs: CALL_TIMEOUT_MS })
    const peers = rows.map(decodePeer)
    ranking.setPeers(peers)
    if (peers.length !== this._known) log.info('peers-known', { peers: peers.map(peer => peer.id) })
    this._known = peers.length
  }

  private async _untilDone (step: () => Promise<void>): Promise<void> {
    for (;;) {
      try {
        await step()
        return
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        await sleep(RETRY_MS)
      }
    }
  }
}
