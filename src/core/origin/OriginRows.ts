import { createHash } from 'node:crypto'
import { z } from 'zod'
import { decodeRow, type RowKey, type RowPut, type RowRange, type StoredRow } from '../platform/index.js'
import type { StreamOrigin } from './StreamOrigin.js'

/** Table of the origins of streams. */
export const ORIGIN_TABLE = 'stream-origins'

/** Number of partitions over which origins are distributed; few, so that one transaction writes many of them. */
export const ORIGIN_PARTITIONS = 4

/** Longest key that the store accepts, in bytes; longer request ids are hashed. */
const MAX_KEY_BYTES = 200

/** Gets the key of a stream's row; the stream is identified by the caller's attempt that received its first event. */
export function getOriginKey (stream: string): RowKey {
  const digest = createHash('sha1').update(stream).digest()
  const key = Buffer.byteLength(stream) <= MAX_KEY_BYTES ? stream : digest.toString('hex')
  return { table: ORIGIN_TABLE, part: `origins-${digest[0]! % ORIGIN_PARTITIONS}`, key }
}

/** Gets the range of keys that contains the row of a stream only. */
export function getOriginRange (stream: string): RowRange {
  const { key, ...partition } = getOriginKey(stream)
  return { ...partition, from: key, to: `${key}\u0000` }
}

/** Encodes the origin of a stream; it never changes, so writing the row twice has no further effect. */
export function toOriginRow (stream: string, origin: StreamOrigin): RowPut {
  return { ...getOriginKey(stream), value: toOriginValue(origin) }
}

/** Encodes a service and version as the value of a row. */
export function toOriginValue ({ service, softwareVersion }: StreamOrigin): Uint8Array {
  return Buffer.from(JSON.stringify([service, softwareVersion]))
}

const ORIGIN = z.tuple([z.string(), z.string()])

/** Decodes the service and version in a row; undefined if it has none. */
export function fromOriginRow (row: StoredRow): StreamOrigin | undefined {
  const origin = decodeRow(row, ORIGIN)
  return origin === undefined ? undefined : { service: origin[0], softwareVersion: origin[1] }
}
