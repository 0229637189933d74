import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import {
  getPartitionOf, RowStore, StoreError, StoreFailure, StoreHealth,
  type CallOptions, type RowCommit, type RowFeed, type RowRange, type RowSnapshot, type RowTransaction, type StorePartition
} from '../../core/platform/index.js'
import type { DecisionLog } from '../process/index.js'

/** Milliseconds for one try of a read or a commit; a store that is sixty times slower than usual responds within half of it. */
export const TRY_TIMEOUT_MS = 700

/** Milliseconds before the second try; the pause doubles with each further try. It is short because a caller waits meanwhile. */
const PAUSE_MS = 50

/** Longest pause between two tries, in milliseconds. */
const MAX_PAUSE_MS = 200

/** Options of {@link StoreAccess}. */
export interface StoreAccessOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly log: DecisionLog
  readonly onRetry: (reason: 'store-timeout' | 'store-error') => void
  readonly onUnavailable: () => void
  readonly onAvailable: () => void
}

/** Calls the store, retries calls that are harmless to repeat, and tracks whether the store is available. */
export class StoreAccess {
  readonly health = new StoreHealth()
  private readonly _options: StoreAccessOptions

  constructor (options: StoreAccessOptions) {
    this._options = options
  }

  /** Reads a range, with retries until the deadline. */
  async read (range: RowRange, deadline: number): Promise<RowSnapshot> {
    return await this._callWithRetries(deadline, range, async options => await this._options.store.read(range, options))
  }

  /** Reads a range, without retries. */
  async readOnce (range: RowRange, deadline: number): Promise<RowSnapshot> {
    return await this._callOnce(deadline, range, async options => await this._options.store.read(range, options))
  }

  /** Commits a change that is harmless to repeat, with retries until the deadline. */
  async commitRepeatable (transaction: RowTransaction, deadline: number): Promise<RowCommit> {
    const partition = getPartitionOf(transaction)
    return await this._callWithRetries(deadline, partition, async options => await this._options.store.commit(transaction, options))
  }

  /** Commits a change, without retries. */
  async commitOnce (transaction: RowTransaction, deadline: number): Promise<RowCommit> {
    return await this._callOnce(
      deadline, getPartitionOf(transaction), async options => await this._options.store.commit(transaction, options)
    )
  }

  /** Waits for changes of a table. */
  async watch (table: string, after: number, waitMs: number, timeoutMs: number): Promise<RowFeed> {
    return await this._callAndRecord({ table, part: '' }, async () => await this._options.store.watch(table, after, waitMs, { timeoutMs }))
  }

  /** Records that a call is repeated because of a failure. */
  recordRetry (err: StoreError): void {
    this._options.onRetry(err.failure === StoreFailure.NoResponse ? 'store-timeout' : 'store-error')
  }

  private async _callWithRetries<T> (deadline: number, partition: StorePartition, call: (options: CallOptions) => Promise<T>): Promise<T> {
    for (let pauseMs = PAUSE_MS; ; pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs)) {
      try {
        return await this._callOnce(deadline, partition, call)
      } catch (err) {
        if (!(err instanceof StoreError) || err.failure === StoreFailure.Rejected) throw err
        if (this._options.clock.now() + pauseMs >= deadline) throw err
        this.recordRetry(err)
        await sleep(pauseMs)
      }
    }
  }

  private async _callOnce<T> (deadline: number, partition: StorePartition, call: (options: CallOptions) => Promise<T>): Promise<T> {
    const timeoutMs = Math.ceil(Math.min(TRY_TIMEOUT_MS, deadline - this._options.clock.now()))
    if (timeoutMs <= 0) throw new StoreError(StoreFailure.Refused, 'The deadline has passed before the call of the store.')
    return await this._callAndRecord(partition, async () => await call({ timeoutMs }))
  }

  private async _callAndRecord<T> (partition: StorePartition, call: () => Promise<T>): Promise<T> {
    const { clock, log, onUnavailable, onAvailable } = this._options
    const lastResponseAt = this.health.getLastResponseAt()
    const recordResponse = (): void => {
      if (!this.health.recordResponse(clock.now())) return
      log.info('store-back', { awayMs: Math.round(clock.now() - lastResponseAt) })
      onAvailable()
    }
    try {
      const response = await call()
      recordResponse()
      return response
    } catch (err) {
      if (err instanceof StoreError && err.failure === StoreFailure.Rejected) {
        log.warn('store-call-rejected', { ...partition, cause: err.message })
        recordResponse()
      } else if (err instanceof StoreError && this.health.recordFailure(clock.now(), partition)) {
        log.warn('store-away', { answeredMsAgo: Math.round(clock.now() - this.health.getLastResponseAt()), cause: err.message })
        onUnavailable()
      }
      throw err
    }
  }
}
