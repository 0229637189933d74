import { TRPCClientError } from '@trpc/client'
import type { Peer } from '../../core/peer/index.js'
import {
  RowStore, StoreError, StoreFailure, type CallOptions, type RowCommit, type RowFeed, type RowRange, type RowSnapshot, type RowTransaction
} from '../../core/platform/index.js'
import { createTimeoutSignal } from '../http/index.js'
import { PeerClient } from './PeerClient.js'
import { decodeCommit, decodeFeed, decodeSnapshot, encodeTransaction } from './rowCodec.js'

/** Milliseconds that a peer's response may take beyond the time-out of the store call. */
const RELAY_MARGIN_MS = 150

/** Calls the store through one peer. */
export class PeerStore extends RowStore {
  private readonly _client: PeerClient

  constructor (peer: Peer) {
    super()
    this._client = new PeerClient(peer)
  }

  async commit (transaction: RowTransaction, options: CallOptions): Promise<RowCommit> {
    const input = { ...encodeTransaction(transaction), ...options }
    return decodeCommit(await this._call(options, async signal => await this._client.procedures.commit.mutate(input, { signal })))
  }

  async read (range: RowRange, options: CallOptions): Promise<RowSnapshot> {
    const input = { ...range, ...options }
    return decodeSnapshot(await this._call(options, async signal => await this._client.procedures.read.mutate(input, { signal })))
  }

  async watch (table: string, after: number, waitMs: number, options: CallOptions): Promise<RowFeed> {
    const input = { table, after, waitMs, ...options }
    return decodeFeed(await this._call(options, async signal => await this._client.procedures.watch.mutate(input, { signal })))
  }

  /** Closes the connections to the peer. */
  async close (): Promise<void> {
    await this._client.close()
  }

  private async _call<T> (options: CallOptions, call: (signal: AbortSignal) => Promise<T>): Promise<T> {
    try {
      return await call(createTimeoutSignal(options.timeoutMs + RELAY_MARGIN_MS))
    } catch (err) {
      // A failed call may have taken effect in the store, unless the peer reports a refusal or accepted no connection.
      if (err instanceof TRPCClientError && err.message === StoreFailure.Rejected) throw new StoreError(StoreFailure.Rejected, 'The store rejected a call through a peer.')
      const isRefused = (err instanceof TRPCClientError && err.message === StoreFailure.Refused) || isConnectError(err)
      throw new StoreError(isRefused ? StoreFailure.Refused : StoreFailure.NoResponse, `Store call through a peer failed: ${err instanceof Error ? err.message : String(err)}`)
    }
  }
}

/** Checks whether the peer accepted no connection, so that nothing was sent. */
function isConnectError (err: unknown): boolean {
  for (let cause = err; cause instanceof Error; cause = cause.cause) {
    const { code } = cause as { code?: string }
    if (code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH') return true
  }
  return false
}
