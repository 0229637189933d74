import { createHash } from 'node:crypto'
import { BYTES_PER_TRANSACTION, getValueBytes, ROWS_PER_TRANSACTION, type LargeRowPut, type RowRange, type StoredRow } from '../platform/index.js'

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

/**
 * Splits a transcript into chunks that fit a row; the first byte of each row is 1 if another chunk follows and 0 if not.
 *
 * @param transcript - Pieces of the transcript in their order, which the rows refer to.
 */
export function toTurnRows (id: string, part: string, transcript: readonly Buffer[], options: TurnRowsOptions): LargeRowPut[] {
  const size = options.rowBytes - 1
  const length = transcript.reduce((sum, piece) => sum + piece.length, 0)
  const rows: LargeRowPut[] = []
  for (let at = 0; at === 0 || at < length; at += size) {
    const isLast = at + size >= length
    const key = getChunkKey(id, rows.length)
    rows.push({ table: TURN_TABLE, part, key, value: [Buffer.of(isLast ? 0 : 1), ...slice(transcript, at, at + size)] })
  }
  return rows
}

/** Gets the bytes of some pieces from one position to another, without a copy. */
function slice (pieces: readonly Buffer[], from: number, to: number): Buffer[] {
  const slices: Buffer[] = []
  let at = 0
  for (const piece of pieces) {
    const start = Math.max(0, from - at)
    const end = Math.min(piece.length, to - at)
    if (start < end) slices.push(piece.subarray(start, end))
    at += piece.length
  }
  return slices
}

/** Gets the key of a chunk of a turn. */
function getChunkKey (id: string, chunk: number): string {
  return `${id}/${String(chunk).padStart(CHUNK_DIGITS, '0')}`
}

/** Groups the rows of a turn into transactions of the store; the last chunk is in the last one, without which the turn does not exist. */
export function toTurnTransactions (rows: readonly LargeRowPut[]): LargeRowPut[][] {
  const transactions: LargeRowPut[][] = []
  let bytes = Infinity
  for (const row of rows) {
    const size = getValueBytes(row)
    bytes += size
    if (bytes > BYTES_PER_TRANSACTION || transactions.at(-1)!.length === ROWS_PER_TRANSACTION) {
      transactions.push([])
      bytes = size
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
