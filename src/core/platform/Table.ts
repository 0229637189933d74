/** Value of a row in the platform's table service: any JSON value. */
export type RowValue = unknown

/** Row with the version that the table assigned to its last write. */
export interface Row {
  /** Starts at 1 and increases by 1 with each write; 0 stands for an absent row. */
  readonly version: number
  readonly value: RowValue
}

/** Rows by key; absent keys have no entry. */
export type Rows = ReadonlyMap<string, Row>

/** Version that a row must have for a transaction to commit; 0 requires that the row is absent. */
export interface Condition {
  readonly key: string
  readonly version: number
}

/** Writes a row, or deletes it when the value is undefined. */
export interface Put {
  readonly key: string
  readonly value: RowValue | undefined
}

/** Atomic write of rows. */
export interface Transaction {
  readonly conditions: readonly Condition[]
  readonly puts: readonly Put[]
}

/** Response of the table to a transaction. */
export type TransactionResult =
  | { readonly type: 'committed' }
  /** Nothing was written; these keys did not have the required version. */
  | { readonly type: 'conflict', readonly keys: readonly string[] }

/**
 * The platform's transactional table service.
 *
 * @remarks Both methods reject when there is no response; a rejected `commit` may have taken effect or may still do so.
 */
export abstract class Table {
  /** Reads rows in one request. */
  abstract read (keys: readonly string[]): Promise<Rows>
  /** Commits a transaction. */
  abstract commit (transaction: Transaction): Promise<TransactionResult>
}

/** In-memory table with the semantics of the platform's service, for tests and the stand-in. */
export class MemoryTable {
  private readonly _rows = new Map<string, Row>()

  /** Gets the rows that exist. */
  read (keys: readonly string[]): Rows {
    const found = new Map<string, Row>()
    for (const key of keys) {
      const row = this._rows.get(key)
      if (row !== undefined) found.set(key, row)
    }
    return found
  }

  /** Applies a transaction if all its conditions hold. */
  commit (transaction: Transaction): TransactionResult {
    const failed = transaction.conditions
      .filter(condition => (this._rows.get(condition.key)?.version ?? 0) !== condition.version)
      .map(condition => condition.key)
    if (failed.length > 0) return { type: 'conflict', keys: failed }
    for (const put of transaction.puts) this._put(put)
    return { type: 'committed' }
  }

  /** Gets all keys in order. */
  getKeys (): string[] {
    return [...this._rows.keys()].sort()
  }

  private _put (put: Put): void {
    if (put.value === undefined) {
      this._rows.delete(put.key)
      return
    }
    const version = (this._rows.get(put.key)?.version ?? 0) + 1
    this._rows.set(put.key, { version, value: structuredClone(put.value) })
  }
}
