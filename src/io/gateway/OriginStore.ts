import { setTimeout as sleep } from 'node:timers/promises'
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '../../core/clock/index.js'
import {
  fromOriginRow, getOriginKey, getOriginRange, ORIGIN_PARTITIONS, OriginLedger, OriginQueue, toOriginRow, type StreamOrigin
} from '../../core/origin/index.js'
import { StoreError, type RowPut } from '../../core/platform/index.js'
import type { RefusalReason } from '../../core/reason/index.js'
import type { OriginPeers } from '../peer/index.js'
import type { DecisionLog } from '../process/index.js'
import { ExpiringRows } from './ExpiringRows.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds for which writing origins is retried; most streams have ended by then. */
const WRITE_TIMEOUT_MS = 3_000

/** Milliseconds for one read of an origin before the peers are asked: ten times what the store usually takes from another region. */
const READ_TIMEOUT_MS = 300

/** Milliseconds between two look-ups of an origin that could not be read. */
const RETRY_PAUSE_MS = 50

/** Where the origin of a stream was found. */
export type OriginSource = 'memory' | 'row' | 'peer' | 'none'

/** Options of {@link OriginStore}. */
export interface OriginStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  /** Other gateways, which may remember a stream that the store does not know. */
  readonly peers: Pick<OriginPeers, 'fetch'>
  /** Transactions per second that the store accepts from all gateways together. */
  readonly writesPerSecond: number
  /** Called with each lookup. */
  readonly onLookup: (source: OriginSource) => void
}

/**
 * Records which software version began each stream, so that any gateway can continue it there.
 *
 * An origin is never guessed: a stream whose origin neither this gateway, the store nor a peer knows is not continued.
 */
export class OriginStore {
  private readonly _options: OriginStoreOptions
  private readonly _ledger: OriginLedger
  private readonly _queues = new Map<string, OriginQueue>()
  private readonly _expiring: ExpiringRows
  private readonly _writing = new Set<string>()

  constructor (options: OriginStoreOptions) {
    const { access, clock, log, writesPerSecond } = options
    this._options = options
    this._expiring = new ExpiringRows({ access, clock, log, failureEvent: 'origins-not-removed' })
    this._ledger = new OriginLedger(clock)
    for (let part = 0; part < ORIGIN_PARTITIONS; part++) {
      this._queues.set(String(part), new OriginQueue({ clock, partitions: ORIGIN_PARTITIONS, writesPerSecond }))
    }
  }

  /** Sets the number of gateways that share the store's writes. */
  setGateways (count: number): void {
    for (const queue of this._queues.values()) queue.setGateways(count)
  }

  /** Records where a stream began; the row is written while the stream is relayed, and removed after the retention time. */
  record (stream: string, origin: StreamOrigin, retentionMs: number): void {
    this._ledger.add(stream, origin, retentionMs)
    const row = toOriginRow(stream, origin)
    if (this._queues.get(row.part)!.add(row)) this._options.log.warn('origin-not-written', { partition: row.part, rows: 1, cause: 'too many rows wait' })
    this._expiring.add([getOriginKey(stream)], retentionMs)
    if (!this._writing.has(row.part)) void this._write(row.part)
  }

  /** Gets the origin of a stream if this gateway remembers it. */
  getRemembered (stream: string): StreamOrigin | undefined {
    return this._ledger.get(stream)
  }

  /** Gets the origin of a stream from memory, the store or a peer. */
  async find (stream: string, retentionMs: number, deadline: number): Promise<Either<RefusalReason, StreamOrigin>> {
    const { peers, log, clock, onLookup } = this._options
    const remembered = this._ledger.get(stream)
    if (remembered !== undefined) {
      onLookup('memory')
      return Right(remembered)
    }
    for (;;) {
      const stored = await this._read(stream, deadline)
      const atPeer = stored.orDefault(undefined) === undefined ? await peers.fetch(stream) : undefined
      const origin = atPeer ?? stored.orDefault(undefined)
      if (origin !== undefined) {
        onLookup(atPeer === undefined ? 'row' : 'peer')
        this._ledger.add(stream, origin, retentionMs)
        return Right(origin)
      }
      if (stored.isLeft() && clock.now() + RETRY_PAUSE_MS < deadline) {
        await sleep(RETRY_PAUSE_MS)
        continue
      }
      onLookup('none')
      log.warn('origin-unknown', { stream, cause: stored.swap().map(err => err.message).orDefault('no gateway and no row knows the stream') })
      return Left(stored.isLeft() ? 'origin-unreadable' : 'origin-unknown')
    }
  }

  /** Removes the rows of streams that have ended. */
  async removeExpired (): Promise<void> {
    await this._expiring.removeExpired()
  }

  /** Reads the row of a stream; Right is undefined if the store has none. */
  private async _read (stream: string, deadline: number): Promise<Either<StoreError, StreamOrigin | undefined>> {
    const { access, clock } = this._options
    try {
      const { rows } = await access.readOnce(getOriginRange(stream), Math.min(deadline, clock.now() + READ_TIMEOUT_MS))
      return Right(rows.map(fromOriginRow)[0])
    } catch (err) {
      if (err instanceof StoreError) return Left(err)
      throw err
    }
  }

  /** Writes the waiting rows of a partition until none is left. */
  private async _write (partition: string): Promise<void> {
    const queue = this._queues.get(partition)!
    this._writing.add(partition)
    for (let delayMs = queue.getDelayMs(); delayMs !== undefined; delayMs = queue.getDelayMs()) {
      if (delayMs > 0) await sleep(delayMs)
      await this._commit(partition, queue.take())
    }
    this._writing.delete(partition)
  }

  private async _commit (partition: string, puts: readonly RowPut[]): Promise<void> {
    const { access, clock, log } = this._options
    try {
      await access.commitRepeatable({ puts }, clock.now() + WRITE_TIMEOUT_MS)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('origin-not-written', { partition, rows: puts.length, cause: err.message })
    }
  }
}
