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

/** Milliseconds between two checks whether a peer that is not called responds again. */
const CHECK_INTERVAL_MS = 1_000

/** Time-out of a check, in milliseconds: that of the shortest call, which a peer that is too slow for it would fail again. */
const CHECK_TIMEOUT_MS = 200

/** Options of {@link PeerPool}. */
export interface PeerPoolOptions {
  readonly clock: Clock
  readonly log: DecisionLog
  /** Resolves if a peer responds; calls a procedure without effect by default. */
  readonly check?: PeerCall<unknown>
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
  checkedAt: number
}

/** A call of a procedure; the options are passed on to it. */
export type PeerCall<T> = (procedures: PeerClient['procedures'], options: { readonly signal: AbortSignal }) => Promise<T>

/**
 * Keeps a client of each peer, and calls none that failed recently.
 *
 * A peer that is not called is checked without a request that waits for it, so that it is called again soon after it is back.
 */
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
      const client = new PeerClient(peer)
      this._peers.set(peer.id, { peer, client, backoffMs: PEER_BACKOFF_MS, backoffUntil: -Infinity, checkedAt: -Infinity })
    }
  }

  /** Calls a peer; returns undefined if it is not known, failed recently or fails now. */
  async call<T> (id: string, options: PeerCallOptions, call: PeerCall<T>): Promise<T | undefined> {
    const { clock, log } = this._options
    const { subject, timeoutMs = PEER_TIMEOUT_MS, ignoresBackoff = false } = options
    const state = this._peers.get(id)
    if (state === undefined) return undefined
    if (!ignoresBackoff && clock.now() < state.backoffUntil) {
      void this._check(state)
      return undefined
    }
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

  /** Ends the back-off of a peer that responds; the next one is still longer, until a call succeeds. */
  private async _check (state: PeerState): Promise<void> {
    const { clock, log, check = checkPeer } = this._options
    const startedAt = clock.now()
    if (startedAt - state.checkedAt < CHECK_INTERVAL_MS) return
    state.checkedAt = startedAt
    try {
      await check(state.client.procedures, { signal: createTimeoutSignal(CHECK_TIMEOUT_MS) })
    } catch {
      // The call that failed was logged; the next check follows while calls are wanted.
      return
    }
    const leftMs = Math.round(state.backoffUntil - clock.now())
    if (leftMs <= 0) return
    state.backoffUntil = -Infinity
    log.info('peer-back', { peer: state.peer.id, leftMs })
  }
}

const checkPeer: PeerCall<unknown> = async (procedures, options) => await procedures.check.query(undefined, options)
