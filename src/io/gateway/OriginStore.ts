import { setTimeout as sleep } from 'node:timers/promises'
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '../../core/clock/index.js'
import {
  fromOriginRow, getOriginKey, getOriginRange, OriginLedger, OriginQueue, toOriginRow, type OriginBatch, type StreamOrigin
} from '../../core/origin/index.js'
import { RowDecodeError, StoreError } from '../../core/platform/index.js'
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
  /** Called with each transaction and the milliseconds from the first event of its first stream until it was durable. */
  readonly onWritten: (delayMs: number) => void
  /** Runs a function after some milliseconds; by a timer by default. */
  readonly schedule?: (run: () => void, delayMs: number) => NodeJS.Timeout
}

/**
 * Records which software version began each stream, so that any gateway can continue it there.
 *
 * An origin is never guessed: a stream whose origin neither this gateway, the store nor a peer knows is not continued.
 */
export class OriginStore {
  private readonly _options: OriginStoreOptions
  private readonly _ledger: OriginLedger
  private readonly _queue: OriginQueue
  private readonly _expiring: ExpiringRows
  /** Partitions to which a transaction is on its way. */
  private readonly _busyPartitions = new Set<string>()
  private _timer: NodeJS.Timeout | undefined

  constructor (options: OriginStoreOptions) {
    const { access, clock, log, writesPerSecond } = options
    this._options = options
    this._expiring = new ExpiringRows({ access, clock, log, failureEvent: 'origins-not-removed' })
    this._ledger = new OriginLedger(clock)
    this._queue = new OriginQueue({ clock, writesPerSecond })
  }

  /** Sets the number of gateways that share the store's writes. */
  setGateways (count: number): void {
    this._queue.setGateways(count)
  }

  /** Records where a stream began; the row is written while the stream is relayed, and removed after the retention time. */
  record (stream: string, origin: StreamOrigin, retentionMs: number): void {
    this._ledger.add(stream, origin, retentionMs)
    if (this._queue.add(toOriginRow(stream, origin))) this._options.log.warn('origin-not-written', { rows: 1, cause: 'too many rows wait' })
    this._expiring.add([getOriginKey(stream)], retentionMs)
    this._scheduleWrite()
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
      const [row] = rows
      if (row === undefined) return Right(undefined)
      const origin = fromOriginRow(row)
      return origin === undefined ? Left(new RowDecodeError(row)) : Right(origin)
    } catch (err) {
      if (err instanceof StoreError) return Left(err)
      throw err
    }
  }

  /** Schedules the next transaction, unless one is scheduled or all waiting rows are of busy partitions. */
  private _scheduleWrite (): void {
    const delayMs = this._queue.getDelayMs(this._busyPartitions)
    if (delayMs === undefined || this._timer !== undefined) return
    const { schedule = setTimeout } = this._options
    this._timer = schedule(() => {
      this._timer = undefined
      const batch = this._queue.take(this._busyPartitions)
      if (batch !== undefined) void this._write(batch)
    }, delayMs)
  }

  private async _write ({ puts, waitedMs }: OriginBatch): Promise<void> {
    const { access, clock, log, onWritten } = this._options
    const { part: partition } = puts[0]!
    const startedAt = clock.now()
    this._busyPartitions.add(partition)
    this._scheduleWrite()
    try {
      await access.commitRepeatable({ puts }, startedAt + WRITE_TIMEOUT_MS)
      const tookMs = clock.now() - startedAt
      onWritten(waitedMs + tookMs)
      log.info('origins-written', { partition, rows: puts.length, waitedMs: Math.round(waitedMs), tookMs: Math.round(tookMs) })
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('origin-not-written', { partition, rows: puts.length, waitedMs: Math.round(waitedMs), cause: err.message })
    } finally {
      this._busyPartitions.delete(partition)
      this._scheduleWrite()
    }
  }
}
