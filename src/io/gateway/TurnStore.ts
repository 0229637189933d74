import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '../../core/clock/index.js'
import { StoreError } from '../../core/platform/index.js'
import type { RefusalReason } from '../../core/reason/index.js'
import { fromTurnRows, getTurnPartitions, getTurnRange, toTurnRows, toTurnTransactions } from '../../core/turn/index.js'
import type { DecisionLog } from '../process/index.js'
import type { TurnPeers } from '../peer/index.js'
import { ExpiringRows } from './ExpiringRows.js'
import { PartitionFallback } from './PartitionFallback.js'
import type { StoreAccess } from './StoreAccess.js'

/** Bytes of transcripts that a gateway caches, so that the next turn of a conversation needs no read. */
export const CACHE_BYTES = 16_777_216

/** Milliseconds between two checks for expired turns. */
export const EXPIRY_CHECK_MS = 5_000

/** Options of {@link TurnStore}. */
export interface TurnStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  /** Other gateways, which may have cached a turn that cannot be read. */
  readonly peers: Pick<TurnPeers, 'fetch'>
  /** Largest payload of a row, in bytes. */
  readonly rowBytes: number
}

/** Stores and caches the transcripts of finished turns. */
export class TurnStore {
  private readonly _options: TurnStoreOptions
  private readonly _cache = new Map<string, Buffer>()
  private readonly _expiring: ExpiringRows
  private readonly _fallback: PartitionFallback
  private _cachedBytes = 0

  constructor (options: TurnStoreOptions) {
    const { access, clock, log } = options
    this._options = options
    this._expiring = new ExpiringRows({ access, clock, log, failureEvent: 'turns-not-removed' })
    this._fallback = new PartitionFallback({ clock, onRetry: err => { access.recordRetry(err) } })
  }

  /**
   * Gets the transcript up to a turn, from the memory of another gateway if the store cannot be read; a turn counts as unknown only when
   * every partition has responded without it.
   */
  async load (id: string, deadline: number): Promise<Either<RefusalReason, Buffer>> {
    const cached = this._cache.get(id)
    if (cached !== undefined) return Right(cached)
    const { access } = this._options
    try {
      // During an outage the request is refused at once, so that its caller can retry when the store is available again.
      const options = { deadline, shouldGiveUp: () => access.health.isUnavailable() }
      const transcript = await this._fallback.call(getTurnPartitions(id), options, async partition => {
        return fromTurnRows((await access.readOnce(getTurnRange(id, partition), deadline)).rows)
      })
      if (transcript === undefined) return Left('turn-unknown')
      this._addToCache(id, transcript)
      return Right(transcript)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      return await this._fetchFromPeers(id, err)
    }
  }

  /** Gets the transcript up to a turn if it is cached. */
  getCached (id: string): Buffer | undefined {
    return this._cache.get(id)
  }

  /**
   * Saves the transcript with a finished turn; returns whether it is durable.
   *
   * @param transcript - Pieces of the transcript, of which no copy is made before it is saved: many may wait for the store.
   */
  async save (id: string, transcript: readonly Buffer[], retentionMs: number, deadline: number): Promise<boolean> {
    const { access, rowBytes } = this._options
    const triedPartitions = new Set<string>()
    try {
      await this._fallback.call(getTurnPartitions(id), { deadline }, async partition => {
        const transactions = toTurnTransactions(toTurnRows(id, partition, transcript, { rowBytes }))
        // A write without a response may still be applied, so the rows of every try are removed when they expire.
        if (!triedPartitions.has(partition)) {
          for (const puts of transactions) this._expiring.add(puts.map(({ table, key }) => ({ table, part: partition, key })), retentionMs)
        }
        triedPartitions.add(partition)
        // One after the other: the turn exists only with its last chunk, which is written when all others are stored.
        for (const puts of transactions) await access.commitOnce({ puts }, deadline)
        return true
      })
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      const bytes = transcript.reduce((sum, { length }) => sum + length, 0)
      this._options.log.warn('turn-not-saved', { turn: id, bytes, cause: err.message })
      return false
    }
    this._addToCache(id, Buffer.concat(transcript))
    return true
  }

  /** Removes the rows of turns that have expired. */
  async removeExpired (): Promise<void> {
    await this._expiring.removeExpired()
  }

  private async _fetchFromPeers (id: string, err: StoreError): Promise<Either<RefusalReason, Buffer>> {
    const { peers, log } = this._options
    const transcript = await peers.fetch(id)
    if (transcript === undefined) {
      log.warn('turn-unreadable', { turn: id, cause: err.message })
      return Left('turn-unreadable')
    }
    log.info('turn-fetched', { turn: id, bytes: transcript.length, cause: err.message })
    this._addToCache(id, transcript)
    return Right(transcript)
  }

  private _addToCache (id: string, transcript: Buffer): void {
    if (this._cache.has(id)) return
    this._cache.set(id, transcript)
    this._cachedBytes += transcript.length
    for (const [oldest, { length }] of this._cache) {
      if (this._cachedBytes <= CACHE_BYTES) return
      this._cache.delete(oldest)
      this._cachedBytes -= length
    }
  }
}
