/** Names a part of a table; parts may fail one by one. */
export interface StorePartition {
  readonly table: string
  /** Rows of one part can be changed together; empty for tables without parts. */
  readonly part: string
}

/** Names a row. */
export interface RowKey extends StorePartition {
  readonly key: string
}

/** A row with the version of the transaction that last wrote it. */
export interface StoredRow extends RowKey {
  readonly value: Uint8Array
  readonly version: number
}

/** A row to write. */
export interface RowPut extends RowKey {
  readonly value: Uint8Array
}

/** A row that must have a version; 0 requires that it is absent. */
export interface RowCondition extends RowKey {
  readonly version: number
}

/** An all-or-nothing change of rows of one part. */
export interface RowTransaction {
  readonly conditions?: readonly RowCondition[]
  readonly puts?: readonly RowPut[]
  readonly removes?: readonly RowKey[]
}

/** Answer to a transaction. */
export type RowCommit =
  | { readonly type: 'committed', readonly version: number }
  /** Nothing was written; `rows` are the rows of the conditions as they are. */
  | { readonly type: 'conflict', readonly rows: readonly StoredRow[] }

/** Range of keys, `from` included and `to` excluded. */
export interface RowRange extends StorePartition {
  readonly from?: string
  readonly to?: string
}

/** Rows as of one moment. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[]
  /** Newest version of the store at that moment. */
  readonly version: number
}

/** One change that a watch reports. */
export type RowChange =
  | { readonly type: 'put', readonly row: StoredRow }
  | { readonly type: 'removed', readonly key: RowKey }

/** Answer to a watch. */
export type RowFeed =
  | { readonly type: 'changes', readonly changes: readonly RowChange[], readonly version: number }
  /** The history after the asked version is gone; the table has to be read again. */
  | { readonly type: 'gap' }

/** Limits of one call, in milliseconds. */
export interface CallOptions {
  readonly timeoutMs: number
}

/**
 * A store of versioned rows that lasts.
 *
 * @remarks Every method rejects with a {@link StoreError} when no usable answer came.
 */
export abstract class RowStore {
  /** Commits a transaction. */
  abstract commit (transaction: RowTransaction, options: CallOptions): Promise<RowCommit>
  /** Reads a range of rows, in the order of their keys. */
  abstract read (range: RowRange, options: CallOptions): Promise<RowSnapshot>
  /** Waits up to `waitMs` for changes of a table after a version. */
  abstract watch (table: string, after: number, waitMs: number, options: CallOptions): Promise<RowFeed>
}

/** Why a store call gave no answer. */
export const StoreFailure = {
  /** The store said that it did nothing. */
  Refused: 'refused',
  /** No answer; a change may have been made or may still be made. */
  NoResponse: 'no-answer'
} as const
export type StoreFailure = typeof StoreFailure[keyof typeof StoreFailure]

/** A store call without a usable answer. */
export class StoreError extends Error {
  readonly failure: StoreFailure

  constructor (failure: StoreFailure, message: string) {
    super(message)
    this.name = 'StoreError'
    this.failure = failure
  }
}

/** Gets the part that a transaction changes. */
export function getPartitionOf (transaction: RowTransaction): StorePartition {
  const row = transaction.conditions?.[0] ?? transaction.puts?.[0] ?? transaction.removes?.[0]
  return { table: row?.table ?? '', part: row?.part ?? '' }
}
