import type { Clock } from '../../core/clock/index.js'
import type { Peer } from '../../core/peer/index.js'
import type { DecisionLog } from '../process/index.js'
import { createTimeoutSignal } from '../http/index.js'
import { PeerClient } from './PeerClient.js'

/** Time-out of one call to a peer by default, in milliseconds; allows for a round trip between regions and a busy peer. */
const PEER_TIMEOUT_MS = 400

/** Milliseconds without calls to a peer after a failed call; they double with each further failure until a call succeeds. */
const PEER_BACKOFF_MS = 1_000

/** Longest back-off, in milliseconds; the peer's machine may have been removed permanently. */
const MAX_PEER_BACKOFF_MS = 30_000

/** Options of {@link PeerPool}. */
export interface PeerPoolOptions {
  readonly clock: Clock
  readonly log: DecisionLog
}

/** Options of {@link PeerPool.call}. */
export interface PeerCallOptions {
  /** Program, loan or turn that the call is about, for the log. */
  readonly subject: string
  readonly timeoutMs?: number
  /** True if the peer is called although it failed recently. */
  readonly ignoresBackoff?: boolean
}

interface PeerState {
  readonly peer: Peer
  readonly client: PeerClient
  backoffMs: number
  backoffUntil: number
}

/** A call of a procedure; the options are passed on to it. */
export type PeerCall<T> = (procedures: PeerClient['procedures'], options: { readonly signal: AbortSignal }) => Promise<T>

/** Keeps a client of each peer, and calls none that failed recently. */
export class PeerPool {
  private readonly _options: PeerPoolOptions
  private readonly _peers = new Map<string, PeerState>()

  constructor (options: PeerPoolOptions) {
    this._options = options
  }

  /** Adds peers, and replaces those whose address has changed. */
  setPeers (peers: readonly Peer[]): void {
    for (const peer of peers) {
      const existing = this._peers.get(peer.id)
      if (existing?.peer.address === peer.address) continue
      void existing?.client.close()
      this._peers.set(peer.id, { peer, client: new PeerClient(peer), backoffMs: PEER_BACKOFF_MS, backoffUntil: -Infinity })
    }
  }

  /** Calls a peer; returns undefined if it is not known, failed recently or fails now. */
  async call<T> (id: string, options: PeerCallOptions, call: PeerCall<T>): Promise<T | undefined> {
    const { clock, log } = this._options
    const { subject, timeoutMs = PEER_TIMEOUT_MS, ignoresBackoff = false } = options
    const state = this._peers.get(id)
    if (state === undefined || (!ignoresBackoff && clock.now() < state.backoffUntil)) return undefined
    try {
      const result = await call(state.client.procedures, { signal: createTimeoutSignal(timeoutMs) })
      state.backoffMs = PEER_BACKOFF_MS
      return result
    } catch (err) {
      const now = clock.now()
      // Concurrent calls that fail together count as one failure.
      if (now >= state.backoffUntil) {
        state.backoffUntil = now + state.backoffMs
        state.backoffMs = Math.min(MAX_PEER_BACKOFF_MS, 2 * state.backoffMs)
      }
      log.warn('peer-call-failed', { peer: id, subject, cause: String(err) })
      return undefined
    }
  }
}
