import type { RowKey, RowPut } from '../platform/index.js'
import type { CrashRecord } from './CrashEvidence.js'

/** Table of crashes: one row for each request and incarnation of a target that crashed while it ran the request. */
export const SUSPECT_TABLE = 'suspects'

/** Separator of digest and incarnation in a row's key. */
const SEPARATOR = '/'

/** Gets the key of the row that shares a crash with all gateways. */
export function getSuspectKey (digest: string, incarnation: string): RowKey {
  return { table: SUSPECT_TABLE, part: '', key: `${digest}${SEPARATOR}${incarnation}` }
}

/** Gets the row that shares a crash with all gateways; writing it twice has no further effect. */
export function toSuspectRow (digest: string, incarnation: string, storeTime: number | undefined): RowPut {
  const value = storeTime === undefined ? Buffer.alloc(0) : Buffer.from(String(Math.round(storeTime)))
  return { ...getSuspectKey(digest, incarnation), value }
}

/** Gets the time of the store at which the crash of a row was counted; undefined if the row does not state it. */
export function getSuspectTime (value: Uint8Array): number | undefined {
  const text = Buffer.from(value).toString()
  return /^\d{1,16}$/.test(text) ? Number(text) : undefined
}

/** Gets the crash of a row from its key; undefined if it is no key of a crash. */
export function decodeSuspectKey ({ key }: RowKey): CrashRecord | undefined {
  const [digest, incarnation] = key.split(SEPARATOR)
  return digest === undefined || incarnation === undefined ? undefined : { digest, incarnation }
}
