import type { Clock } from '../clock/index.js'
import { ROWS_PER_TRANSACTION, type RowPut } from '../platform/index.js'

/** Maximum number of rows that wait; the oldest are dropped, whose streams are the most likely to have ended. */
export const MAX_WAITING_ROWS = 5_000

/** Share of the store's writes that all gateways together use for origins. */
export const WRITE_SHARE = 0.25

/** Options of {@link OriginQueue}. */
export interface OriginQueueOptions {
  readonly clock: Clock
  /** Partitions over which the writes are divided. */
  readonly partitions: number
  /** Transactions per second that the store accepts from all gateways together. */
  readonly writesPerSecond: number
}

/**
 * Queues the origins of one partition for the store.
 *
 * Answers the load of many streams that begin at many gateways: a row that finds the queue idle is written at once, and the more streams
 * begin, the more rows share a transaction, so that all gateways together stay within their share of the store's writes.
 */
export class OriginQueue {
  private readonly _options: OriginQueueOptions
  private readonly _rows: RowPut[] = []
  private _gateways = 1
  private _nextAt = -Infinity

  constructor (options: OriginQueueOptions) {
    this._options = options
  }

  /** Sets the number of gateways that share the writes. */
  setGateways (count: number): void {
    this._gateways = Math.max(1, count)
  }

  /** Adds a row; returns whether another one was dropped for it. */
  add (row: RowPut): boolean {
    this._rows.push(row)
    if (this._rows.length <= MAX_WAITING_ROWS) return false
    this._rows.shift()
    return true
  }

  /** Gets the milliseconds until the next transaction may be written; undefined while no row waits. */
  getDelayMs (): number | undefined {
    return this._rows.length === 0 ? undefined : Math.max(0, this._nextAt - this._options.clock.now())
  }

  /** Takes the rows of the next transaction. */
  take (): RowPut[] {
    const { clock, partitions, writesPerSecond } = this._options
    this._nextAt = clock.now() + 1_000 * this._gateways * partitions / (writesPerSecond * WRITE_SHARE)
    return this._rows.splice(0, ROWS_PER_TRANSACTION)
  }
}
