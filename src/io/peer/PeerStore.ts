import { TRPCClientError } from '@trpc/client'
import type { Peer } from '../../core/peer/index.js'
import {
  RowStore, StoreError, StoreFailure, type CallOptions, type RowCommit, type RowFeed, type RowRange, type RowSnapshot, type RowTransaction
} from '../../core/platform/index.js'
import { PeerClient } from './PeerClient.js'
import { decodeCommit, decodeFeed, decodeSnapshot, encodeTransaction } from './rowCodec.js'

/** Milliseconds beyond the store's time that a peer's answer may take. */
const RELAY_MARGIN_MS = 150

/** The store as one peer reaches it. */
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

  /** Closes the connections. */
  async close (): Promise<void> {
    await this._client.close()
  }

  private async _call<T> (options: CallOptions, call: (signal: AbortSignal) => Promise<T>): Promise<T> {
    try {
      return await call(AbortSignal.timeout(options.timeoutMs + RELAY_MARGIN_MS))
    } catch (err) {
      // What a peer could not do may have been done all the same, unless it says that the store refused.
      const isRefused = (err instanceof TRPCClientError && err.message === StoreFailure.Refused) || isConnectError(err)
      throw new StoreError(isRefused ? StoreFailure.Refused : StoreFailure.NoResponse, `by a peer: ${err instanceof Error ? err.message : String(err)}`)
    }
  }
}

/** Tells whether the peer accepted no connection, so that nothing was sent. */
function isConnectError (err: unknown): boolean {
  for (let cause = err; cause instanceof Error; cause = cause.cause) {
    const { code } = cause as { code?: string }
    if (code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH') return true
  }
  return false
}
