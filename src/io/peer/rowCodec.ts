import { getPieces, type RowChange, type RowCommit, type RowCondition, type RowFeed, type RowKey, type RowSnapshot, type RowTransaction, type StoredRow } from '../../core/platform/index.js'

/** A row with its value in base64. */
export type EncodedRow = Omit<StoredRow, 'value'> & { readonly value: string }

/** A transaction with values in base64. */
export interface EncodedTransaction {
  readonly conditions: RowCondition[]
  readonly puts: Array<RowKey & { readonly value: string }>
  readonly removes: RowKey[]
}

type EncodedChange = { readonly type: 'put', readonly row: EncodedRow } | { readonly type: 'removed', readonly key: RowKey }

/** Response to a transaction, with values in base64. */
export type EncodedCommit = { readonly type: 'committed', readonly version: number } | { readonly type: 'conflict', readonly rows: EncodedRow[] }

/** Response to a watch, with values in base64. */
export type EncodedFeed =
  | { readonly type: 'changes', readonly changes: EncodedChange[], readonly version: number, readonly timeMs?: number | undefined }
  | { readonly type: 'gap' }

/** Rows read from the store, with values in base64. */
export interface EncodedSnapshot {
  readonly rows: EncodedRow[]
  readonly version: number
  readonly timeMs?: number | undefined
}

/** Encodes a transaction. */
export function encodeTransaction (transaction: RowTransaction): EncodedTransaction {
  return {
    conditions: [...transaction.conditions ?? []],
    puts: (transaction.puts ?? []).map(put => ({ ...put, value: Buffer.concat(getPieces(put)).toString('base64') })),
    removes: [...transaction.removes ?? []]
  }
}

/** Decodes a transaction. */
export function decodeTransaction (encoded: EncodedTransaction): RowTransaction {
  return { ...encoded, puts: encoded.puts.map(put => ({ ...put, value: Buffer.from(put.value, 'base64') })) }
}

/** Encodes the response to a transaction. */
export function encodeCommit (commit: RowCommit): EncodedCommit {
  return commit.type === 'committed' ? commit : { type: 'conflict', rows: commit.rows.map(encodeRow) }
}

/** Decodes the response to a transaction. */
export function decodeCommit (encoded: EncodedCommit): RowCommit {
  return encoded.type === 'committed' ? encoded : { type: 'conflict', rows: encoded.rows.map(decodeRow) }
}

/** Encodes rows read from the store. */
export function encodeSnapshot (snapshot: RowSnapshot): EncodedSnapshot {
  return { ...snapshot, rows: snapshot.rows.map(encodeRow) }
}

/** Decodes rows read from the store. */
export function decodeSnapshot (encoded: EncodedSnapshot): RowSnapshot {
  return { ...encoded, rows: encoded.rows.map(decodeRow) }
}

/** Encodes the response to a watch. */
export function encodeFeed (feed: RowFeed): EncodedFeed {
  if (feed.type === 'gap') return feed
  return { ...feed, changes: feed.changes.map(change => change.type === 'put' ? { type: 'put', row: encodeRow(change.row) } : change) }
}

/** Decodes the response to a watch. */
export function decodeFeed (encoded: EncodedFeed): RowFeed {
  if (encoded.type === 'gap') return encoded
  const changes = encoded.changes.map((change): RowChange => change.type === 'put' ? { type: 'put', row: decodeRow(change.row) } : change)
  return { ...encoded, changes }
}

function encodeRow (row: StoredRow): EncodedRow {
  return { ...row, value: Buffer.from(row.value).toString('base64') }
}

function decodeRow (row: EncodedRow): StoredRow {
  return { ...row, value: Buffer.from(row.value, 'base64') }
}
