import { createHash } from 'node:crypto'
import { BYTES_PER_TRANSACTION, ROWS_PER_TRANSACTION, type RowPut, type RowRange, type StoredRow } from '../platform/index.js'

/** Table of finished turns. */
export const TURN_TABLE = 'turns'

/** Number of partitions over which turns are distributed; a partition commits one transaction at a time. */
export const TURN_PARTITIONS = 64

/** Number of partitions that may store a turn; later ones are used when the first is unavailable, so that few turns fail with it. */
export const PARTITIONS_PER_TURN = 3

/** Digits of a chunk's zero-padded number in its key, so that keys sort by number. */
const CHUNK_DIGITS = 4

/** Options of {@link toTurnRows}. */
export interface TurnRowsOptions {
  /** Largest number of bytes that a row may hold. */
  readonly rowBytes: number
}

/** Gets the partitions that may store a turn, in the order in which they are used. */
export function getTurnPartitions (id: string): string[] {
  const digest = createHash('sha1').update(id).digest()
  const first = digest.readUInt16BE(0) % TURN_PARTITIONS
  // The number of partitions is a power of two, so an odd step visits all others before it repeats one.
  const step = 1 + 2 * (digest.readUInt16BE(2) % (TURN_PARTITIONS / 2))
  return Array.from({ length: PARTITIONS_PER_TURN }, (_, at) => String((first + at * step) % TURN_PARTITIONS))
}

/** Gets the range of keys of all chunks of a turn in a partition. */
export function getTurnRange (id: string, part: string): RowRange {
  return { table: TURN_TABLE, part, from: `${id}/`, to: `${id}0` }
}

/** Splits a transcript into chunks that fit a row; the first byte of each row is 1 if another chunk follows and 0 if not. */
export function toTurnRows (id: string, part: string, transcript: Buffer, options: TurnRowsOptions): RowPut[] {
  const size = options.rowBytes - 1
  const rows: RowPut[] = []
  for (let at = 0; at === 0 || at < transcript.length; at += size) {
    const isLast = at + size >= transcript.length
    const key = getChunkKey(id, rows.length)
    rows.push({ table: TURN_TABLE, part, key, value: Buffer.concat([Buffer.of(isLast ? 0 : 1), transcript.subarray(at, at + size)]) })
  }
  return rows
}

/** Gets the key of a chunk of a turn. */
function getChunkKey (id: string, chunk: number): string {
  return `${id}/${String(chunk).padStart(CHUNK_DIGITS, '0')}`
}

/** Groups the rows of a turn into transactions of the store; the last chunk is in the last one, without which the turn does not exist. */
export function toTurnTransactions (rows: readonly RowPut[]): RowPut[][] {
  const transactions: RowPut[][] = []
  let bytes = Infinity
  for (const row of rows) {
    bytes += row.value.length
    if (bytes > BYTES_PER_TRANSACTION || transactions.at(-1)!.length === ROWS_PER_TRANSACTION) {
      transactions.push([])
      bytes = row.value.length
    }
    transactions.at(-1)!.push(row)
  }
  return transactions
}

/** Joins the rows of a turn; undefined when there are no rows or a chunk is missing. */
export function fromTurnRows (rows: readonly StoredRow[]): Buffer | undefined {
  const last = rows.at(-1)
  if (last === undefined || last.value[0] !== 0 || !last.key.endsWith(getChunkKey('', rows.length - 1))) return undefined
  return Buffer.concat(rows.map(row => row.value.subarray(1)))
}
