import { createHash } from 'node:crypto'
import type { RowPut, RowRange, StoredRow } from '../platform/index.js'

/** Table of finished turns. */
export const TURN_TABLE = 'turns'

/** Parts over which turns are spread; a part commits one transaction at a time. */
export const TURN_PARTITIONS = 64

/** Parts that a turn may lie in: the first one unless that is away, so that an outage of some parts keeps few turns out. */
export const PARTITIONS_PER_TURN = 3

/** Digits of a piece's number in its key, so that keys sort by number. */
const CHUNK_DIGITS = 4

/** Rows of one turn: its whole transcript, cut into pieces that fit a row. */
export interface TurnRowsOptions {
  /** Largest number of bytes that a row may hold. */
  readonly rowBytes: number
}

/** Gets the parts that a turn may lie in, in the order in which they are used. */
export function getTurnPartitions (id: string): string[] {
  const digest = createHash('sha1').update(id).digest()
  const first = digest.readUInt16BE(0) % TURN_PARTITIONS
  // An odd step never leads back to a part before all others were visited.
  const step = 1 + 2 * (digest.readUInt16BE(2) % (TURN_PARTITIONS / 2))
  return Array.from({ length: PARTITIONS_PER_TURN }, (_, at) => String((first + at * step) % TURN_PARTITIONS))
}

/** Gets the range that holds every piece of a turn in a part. */
export function getTurnRange (id: string, part: string): RowRange {
  return { table: TURN_TABLE, part, from: `${id}/`, to: `${id}0` }
}

/** Cuts a transcript into rows; the first byte of each piece says whether another one follows. */
export function toTurnRows (id: string, part: string, transcript: Buffer, options: TurnRowsOptions): RowPut[] {
  const size = options.rowBytes - 1
  const rows: RowPut[] = []
  for (let at = 0; at === 0 || at < transcript.length; at += size) {
    const isLast = at + size >= transcript.length
    const key = `${id}/${String(rows.length).padStart(CHUNK_DIGITS, '0')}`
    rows.push({ table: TURN_TABLE, part, key, value: Buffer.concat([Buffer.of(isLast ? 0 : 1), transcript.subarray(at, at + size)]) })
  }
  return rows
}

/** Joins the rows of a turn; undefined when there is no such turn. */
export function fromTurnRows (rows: readonly StoredRow[]): Buffer | undefined {
  const last = rows.at(-1)
  if (last === undefined || last.value[0] !== 0) return undefined
  return Buffer.concat(rows.map(row => row.value.subarray(1)))
}
