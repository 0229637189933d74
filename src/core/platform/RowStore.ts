/** Maximum number of rows that one transaction of the store changes. */
export const ROWS_PER_TRANSACTION = 100

/** Largest number of bytes of values in one transaction; base64 and JSON make it a third larger, and a store accepts a megabyte. */
export const BYTES_PER_TRANSACTION = 600_000

/** Identifies a partition of a table; partitions may fail independently. */
export interface StorePartition {
  readonly table: string
  /** Id of the partition, whose rows can be changed in one transaction; empty for tables that are not partitioned. */
  readonly part: string
}

/** Identifies a row. */
export interface RowKey extends StorePartition {
  readonly key: string
}

/** A stored row with the version of the transaction that last wrote it. */
export interface StoredRow extends RowKey {
  readonly value: Uint8Array
  readonly version: number
}

/** A row to write. */
export interface RowPut extends RowKey {
  readonly value: Uint8Array
}

/** A row to write whose value is large, so that it is not copied before it is sent. */
export interface LargeRowPut extends RowKey {
  /** Pieces of the value, in their order. */
  readonly value: readonly Uint8Array[]
}

/** Version that a row must have for a transaction to commit; 0 requires that the row is absent. */
export interface RowCondition extends RowKey {
  readonly version: number
}

/** Atomic change of rows of one partition. */
export interface RowTransaction {
  readonly conditions?: readonly RowCondition[]
  readonly puts?: ReadonlyArray<RowPut | LargeRowPut>
  readonly removes?: readonly RowKey[]
}

/** Response to a transaction. */
export type RowCommit =
  | { readonly type: 'committed', readonly version: number }
  /** Nothing was written; `rows` are the current rows that the conditions refer to. */
  | { readonly type: 'conflict', readonly rows: readonly StoredRow[] }

/** Range of keys in a partition, including `from` and excluding `to`. */
export interface RowRange extends StorePartition {
  readonly from?: string
  readonly to?: string
}

/** Consistent snapshot of rows. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[]
  /** Latest version of the store at the time of the snapshot. */
  readonly version: number
  /** Milliseconds of the store's steady clock; undefined if the response states none. */
  readonly timeMs?: number | undefined
}

/** Change of a row that a watch reports. */
export type RowChange =
  | { readonly type: 'put', readonly row: StoredRow }
  | { readonly type: 'removed', readonly key: RowKey }

/** Response to a watch. */
export type RowFeed =
  | {
    readonly type: 'changes'
    readonly changes: readonly RowChange[]
    readonly version: number
    /** Milliseconds of the store's steady clock; undefined if the response states none. */
    readonly timeMs?: number | undefined
  }
  /** The changes after the requested version are no longer stored; the table has to be read again. */
  | { readonly type: 'gap' }

/** Gets the pieces of a value. */
export function getPieces ({ value }: RowPut | LargeRowPut): readonly Uint8Array[] {
  return value instanceof Uint8Array ? [value] : value
}

/** Gets the number of bytes of a value. */
export function getValueBytes (put: RowPut | LargeRowPut): number {
  return getPieces(put).reduce((sum, { length }) => sum + length, 0)
}

/** Limits of one call, in milliseconds. */
export interface CallOptions {
  readonly timeoutMs: number
}

/**
 * Durable store of versioned rows.
 *
 * @remarks Every method rejects with a {@link StoreError} when it gets no usable response.
 */
export abstract class RowStore {
  /** Commits a transaction. */
  abstract commit (transaction: RowTransaction, options: CallOptions): Promise<RowCommit>
  /** Reads a range of rows in the order of their keys. */
  abstract read (range: RowRange, options: CallOptions): Promise<RowSnapshot>
  /** Waits up to `waitMs` for changes of a table after a version. */
  abstract watch (table: string, after: number, waitMs: number, options: CallOptions): Promise<RowFeed>
}

/** Reason why a store call got no usable response. */
export const StoreFailure = {
  /** The store responded that it did not execute the call. */
  Refused: 'refused',
  /** The store responded that it accepts no such call, as one that is too large; this says nothing about its availability. */
  Rejected: 'rejected',
  /** There was no response; a commit may have taken effect or may still do so. */
  NoResponse: 'no-answer'
} as const
export type StoreFailure = typeof StoreFailure[keyof typeof StoreFailure]

/** Error of a store call that got no usable response. */
export class StoreError extends Error {
  readonly failure: StoreFailure

  constructor (failure: StoreFailure, message: string) {
    super(message)
    this.name = 'StoreError'
    this.failure = failure
  }
}

/** Gets the partition that a transaction changes. */
export function getPartitionOf (transaction: RowTransaction): StorePartition {
  const row = transaction.conditions?.[0] ?? transaction.puts?.[0] ?? transaction.removes?.[0]
  return { table: row?.table ?? '', part: row?.part ?? '' }
}
