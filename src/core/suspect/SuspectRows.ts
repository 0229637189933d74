import type { RowKey, RowPut } from '../platform/index.js'
import type { CrashRecord } from './CrashEvidence.js'

/** Table of crashes: one row for each request and incarnation of a target that crashed while it ran the request. */
export const SUSPECT_TABLE = 'suspects'

/** Separator of digest and incarnation in a row's key. */
const SEPARATOR = '/'

/** Prefix of the key of a trial's row; it has no {@link SEPARATOR}, so that earlier versions take it for no crash. */
const TRIAL_PREFIX = 'trial.'

/** Gets the key of the row that shares a crash with all gateways. */
export function getSuspectKey (digest: string, incarnation: string): RowKey {
  return { table: SUSPECT_TABLE, part: '', key: `${digest}${SEPARATOR}${incarnation}` }
}

/** Gets the row that shares a crash with all gateways; writing it twice has no further effect. */
export function toSuspectRow (digest: string, incarnation: string, storeTime: number | undefined): RowPut {
  const value = storeTime === undefined ? Buffer.alloc(0) : Buffer.from(String(Math.round(storeTime)))
  return { ...getSuspectKey(digest, incarnation), value }
}

/** Gets the time of the store at which the crash of a row was counted, or a trial began; undefined if the row does not state it. */
export function getSuspectTime (value: Uint8Array): number | undefined {
  const match = /^(\d{1,16})( |$)/.exec(Buffer.from(value).toString())
  return match === null ? undefined : Number(match[1])
}

/** Gets the crash of a row from its key; undefined if it is no key of a crash. */
export function decodeSuspectKey ({ key }: RowKey): CrashRecord | undefined {
  const [digest, incarnation] = key.split(SEPARATOR)
  return digest === undefined || incarnation === undefined ? undefined : { digest, incarnation }
}

/** Gets the key of the row by which one gateway at a time tries a request again. */
export function getTrialKey (digest: string): RowKey {
  return { table: SUSPECT_TABLE, part: '', key: `${TRIAL_PREFIX}${digest}` }
}

/** Gets the row by which a gateway tries a request again, with the time of the store. */
export function toTrialRow (digest: string, holder: string, storeTime: number | undefined): RowPut {
  return { ...getTrialKey(digest), value: Buffer.from(`${storeTime === undefined ? '' : Math.round(storeTime)} ${holder}`) }
}

/** Gets the request of a trial from the key of its row; undefined if it is no key of a trial. */
export function decodeTrialKey ({ key }: RowKey): string | undefined {
  return key.startsWith(TRIAL_PREFIX) ? key.slice(TRIAL_PREFIX.length) : undefined
}

/** Gets the holder of a trial from the value of its row. */
export function getTrialHolder (value: Uint8Array): string {
  const text = Buffer.from(value).toString()
  return text.slice(text.indexOf(' ') + 1)
}
