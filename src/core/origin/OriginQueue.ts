import type { Clock } from '../clock/index.js'
import { CellRate } from '../limits/index.js'
import { ROWS_PER_TRANSACTION, type RowPut } from '../platform/index.js'
import { ORIGIN_PARTITIONS } from './OriginRows.js'

/** Maximum number of rows that wait; the oldest are dropped, whose streams are the most likely to have ended. */
export const MAX_WAITING_ROWS = 5_000

/** Share of the store's writes that all gateways together use for origins. */
export const WRITE_SHARE = 0.25

/** Transactions per second that a partition accepts, as the users' sheets state it for all stores. */
export const PARTITION_WRITES_PER_SECOND = 200

/** Share of a partition's writes that are planned, because streams are hashed unevenly to the partitions. */
const PARTITION_SHARE = 0.8

/** Milliseconds by which a gateway's transactions may be early: streams begin in groups, and their rows then don't wait for each other. */
const BURST_MS = 500

/** Milliseconds over which the share of the store's writes is kept, bursts included. */
const SHARE_WINDOW_MS = 10_000

/** Options of {@link OriginQueue}. */
export interface OriginQueueOptions {
  readonly clock: Clock
  /** Transactions per second that the store accepts from all gateways together. */
  readonly writesPerSecond: number
}

/** A row that waits. */
interface WaitingRow {
  readonly put: RowPut
  readonly addedAt: number
}

/** Rows of one transaction. */
export interface OriginBatch {
  readonly puts: readonly RowPut[]
  /** Milliseconds for which the first of them has waited. */
  readonly waitedMs: number
}

const NONE: ReadonlySet<string> = new Set()

/**
 * Queues the origins of streams for the store.
 *
 * Answers the load of many streams that begin at many gateways: rows are written at once while a gateway is below its share of the store's
 * writes, and the more streams begin, the more rows share a transaction, so that all gateways together stay within that share.
 */
export class OriginQueue {
  private readonly _options: OriginQueueOptions
  private _rows: WaitingRow[] = []
  private _gateways = 1
  private readonly _rate = new CellRate()

  constructor (options: OriginQueueOptions) {
    this._options = options
  }

  /** Sets the number of gateways that share the writes. */
  setGateways (count: number): void {
    this._gateways = Math.max(1, count)
  }

  /** Adds a row; returns whether another one was dropped for it. */
  add (put: RowPut): boolean {
    this._rows.push({ put, addedAt: this._options.clock.now() })
    if (this._rows.length <= MAX_WAITING_ROWS) return false
    this._rows.shift()
    return true
  }

  /** Gets the milliseconds until the next transaction may be written; undefined while no row waits, except in busy partitions. */
  getDelayMs (busyPartitions = NONE): number | undefined {
    const hasRow = this._rows.some(({ put }) => !busyPartitions.has(put.part))
    return hasRow ? this._rate.getWaitMs(this._options.clock.now(), BURST_MS) : undefined
  }

  /** Takes the rows of the next transaction, those of the partition whose first row has waited the longest; undefined if there are none. */
  take (busyPartitions = NONE): OriginBatch | undefined {
    const first = this._rows.find(({ put }) => !busyPartitions.has(put.part))
    if (first === undefined) return undefined
    const now = this._options.clock.now()
    const taken = this._rows.filter(({ put }) => put.part === first.put.part).slice(0, ROWS_PER_TRANSACTION)
    const takenRows = new Set(taken)
    this._rows = this._rows.filter(row => !takenRows.has(row))
    this._rate.add(now, this._getIntervalMs())
    return { puts: taken.map(({ put }) => put), waitedMs: now - first.addedAt }
  }

  private _getIntervalMs (): number {
    const partitionsPerSecond = ORIGIN_PARTITIONS * PARTITION_WRITES_PER_SECOND * PARTITION_SHARE
    const perSecond = Math.min(WRITE_SHARE * this._options.writesPerSecond, partitionsPerSecond) / this._gateways
    return 1_000 / perSecond * (SHARE_WINDOW_MS + BURST_MS) / SHARE_WINDOW_MS
  }
}
