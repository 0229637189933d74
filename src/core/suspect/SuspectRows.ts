import type { RowKey, RowPut } from '../platform/index.js'
import type { CrashRecord } from './CrashEvidence.js'

/** Table of crashes: one row for each request and incarnation of a target that crashed while it ran the request. */
export const SUSPECT_TABLE = 'suspects'

/** Separator of digest and incarnation in a row's key. */
const SEPARATOR = '/'

/** Prefix of the key of a trial's row; it has no {@link SEPARATOR}, so that earlier versions take it for no crash. */
const TRIAL_PREFIX = 'trial.'

/** Separator of the members of a run in the value of a trial's row. */
const RUN_SEPARATOR = ','

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

/** A run of a request that is tried again, whose outcome is not known; times in whole milliseconds before the time that its row states. */
export interface TrialRun {
  readonly incarnation: string
  readonly sentMsAgo: number
  readonly abandonedMsAgo: number
}

/** What the row of a trial states beside its time. */
export interface TrialRowContent {
  readonly holder: string
  /** Runs that another gateway judges if the holder has ended. */
  readonly runs: readonly TrialRun[]
}

/** Gets the row by which a gateway tries a request again, with the time of the store. */
export function toTrialRow (digest: string, { holder, runs }: TrialRowContent, storeTime: number | undefined): RowPut {
  const tokens = runs.map(run => [Buffer.from(run.incarnation).toString('base64url'), run.sentMsAgo, run.abandonedMsAgo].join(RUN_SEPARATOR))
  return { ...getTrialKey(digest), value: Buffer.from([storeTime === undefined ? '' : Math.round(storeTime), holder, ...tokens].join(' ')) }
}

/** Gets the request of a trial from the key of its row; undefined if it is no key of a trial. */
export function decodeTrialKey ({ key }: RowKey): string | undefined {
  return key.startsWith(TRIAL_PREFIX) ? key.slice(TRIAL_PREFIX.length) : undefined
}

/** Gets what the value of a trial's row states; earlier versions wrote no runs. */
export function decodeTrialRow (value: Uint8Array): TrialRowContent {
  const [, holder = '', ...tokens] = Buffer.from(value).toString().split(' ')
  return { holder, runs: tokens.flatMap(token => decodeRun(token) ?? []) }
}

function decodeRun (token: string): TrialRun | undefined {
  const match = /^([\w-]+),(\d{1,9}),(\d{1,9})$/.exec(token)
  if (match === null) return undefined
  return { incarnation: Buffer.from(match[1]!, 'base64url').toString(), sentMsAgo: Number(match[2]), abandonedMsAgo: Number(match[3]) }
}
