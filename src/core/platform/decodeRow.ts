import type { z } from 'zod'
import { StoreError, StoreFailure, type StoredRow } from './RowStore.js'

/** Error of a row whose value is not what its table holds, such as one of another writer; says nothing about the store. */
export class RowDecodeError extends StoreError {
  constructor (row: StoredRow) {
    super(StoreFailure.Refused, `The row "${row.key}" of the table "${row.table}" can't be decoded (version ${row.version}).`)
    this.name = 'RowDecodeError'
  }
}

/** Parses JSON; undefined if the bytes are no JSON. */
export function parseJsonBytes (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'))
  } catch {
    return undefined
  }
}

/** Decodes the JSON value of a row; undefined if it doesn't match the schema. */
export function decodeRow<T> (row: StoredRow, schema: z.ZodType<T>): T | undefined {
  const decoded = schema.safeParse(parseJsonBytes(row.value))
  return decoded.success ? decoded.data : undefined
}

/** Decodes the JSON value of a row, or throws a {@link RowDecodeError}. */
export function decodeRowOrThrow<T> (row: StoredRow, schema: z.ZodType<T>): T {
  const decoded = decodeRow(row, schema)
  if (decoded === undefined) throw new RowDecodeError(row)
  return decoded
}
