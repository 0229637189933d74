import { createHash } from 'node:crypto'
import type { RowKey, RowPut } from '../platform/index.js'

/** Table of crashes: one row for each request and incarnation of a target that crashed while it ran the request. */
export const SUSPECT_TABLE = 'suspects'

/** Number of crashed target incarnations at which a request is refused. */
export const REFUSE_AFTER_INCARNATIONS = 3

/**
 * Milliseconds for which a request is refused: after the third crash, after the first one of a run that followed that refusal, and so on.
 *
 * The first two are short, because three outages in a row may take a request with them that did not cause them; callers try for longer than
 * the first lasts. The others are so long that a request that crashes targets reaches few more of them.
 */
export const REFUSAL_MS = [1_000, 3_000, 30_000, 300_000, 900_000] as const

/** Milliseconds after its latest crash for which a request is remembered. */
export const SUSPECT_RETENTION_MS = 900_000

/** Maximum number of requests that are kept; the oldest are evicted. */
const MAX_SUSPECTS = 10_000

/** Separator of digest and incarnation in a row's key. */
const SEPARATOR = '/'

/** What identifies a request across retries. */
export interface SuspectIdentity {
  /** Address of the caller's connection. */
  readonly address: string
  /** Id of the program, if one is named. */
  readonly program: string | undefined
  readonly method: string
  readonly host: string
  /** Path and query. */
  readonly target: string
  /** Id of the turn that a turn continues from, since later turns often have the same input. */
  readonly previousTurn: string | undefined
  readonly body: Buffer | undefined
}

/** Digests under which the crashes of a request are counted. */
export interface SuspectDigests {
  /** Identifies the request of one program, or of one address where no program is named. */
  readonly request: string
  /**
   * Identifies the same path and body from one address, in any program and after any turn; undefined without a program.
   *
   * A caller may send a request again in a new program. Unrelated programs may also have an input in common, so that a crash counts here
   * only against a request that is alone, see {@link InputsInProgress}.
   */
  readonly input: string | undefined
}

/** Gets the digests that identify a request across retries. */
export function getSuspectDigests (identity: SuspectIdentity): SuspectDigests {
  const { address, program, method, host, target, previousTurn, body } = identity
  const content = body === undefined ? null : createHash('sha1').update(body).digest('hex')
  const toDigest = (...caller: ReadonlyArray<string | null>): string => {
    return createHash('sha1').update(JSON.stringify([...caller, method, host, target, content])).digest('hex')
  }
  return {
    request: toDigest('request', program ?? address, previousTurn ?? null),
    input: program === undefined ? undefined : toDigest('input', address)
  }
}

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

interface Crash {
  /** Time at which it was counted, by the steady clock. */
  readonly at: number
  /** True once the store has shown its row. */
  isStored: boolean
}

/** Crashes of one request, by the target's incarnation. */
type Suspect = Map<string, Crash>

/** A crash that the store has shown. */
export interface StoredCrash {
  readonly key: RowKey
  /** Time at which it was counted, by the steady clock. */
  readonly at: number
}

/**
 * Tracks which requests crashed targets.
 *
 * Handles a request that crashes each target that runs it and is retried at any gateway: after a few crashes it is refused instead. The
 * refusal ends, after which a further crash renews it for longer. A request that a target answers crashes none.
 */
export class SuspectList {
  private readonly _suspects = new Map<string, Suspect>()
  /** Number of crashes of each incarnation, so that the response of one without any costs nothing. */
  private readonly _crashesOf = new Map<string, number>()

  /** Records that a request crashed a target; returns true if the request is refused from now on. */
  add (digest: string, incarnation: string, at: number, isStored = false): boolean {
    const known = this._suspects.get(digest)
    if (known !== undefined && isForgotten(known, at)) this.clear(digest)
    const crashes: Suspect = this._suspects.get(digest) ?? new Map()
    const crash = crashes.get(incarnation)
    if (crash !== undefined) {
      crash.isStored ||= isStored
      return false
    }
    crashes.set(incarnation, { at, isStored })
    this._crashesOf.set(incarnation, (this._crashesOf.get(incarnation) ?? 0) + 1)
    // The latest is moved to the end, so that the oldest is evicted.
    this._suspects.delete(digest)
    this._suspects.set(digest, crashes)
    if (this._suspects.size > MAX_SUSPECTS) {
      const [oldest] = this._suspects.keys()
      this.clear(oldest!)
    }
    return this.getRefusedMs(digest, at) > 0
  }

  /** Checks whether a crash is recorded. */
  has (digest: string, incarnation: string): boolean {
    return this._suspects.get(digest)?.has(incarnation) ?? false
  }

  /** Adds a crash that the store has shown; returns true if the request is refused from now on. */
  addStored ({ key, at }: StoredCrash): boolean {
    const [digest, incarnation] = key.key.split(SEPARATOR)
    return digest !== undefined && incarnation !== undefined && this.add(digest, incarnation, at, true)
  }

  /** Removes the crashes that the store has shown before and does not show any more. */
  retainStored (keys: readonly RowKey[]): void {
    const shown = new Set(keys.map(({ key }) => key))
    for (const [digest, crashes] of this._suspects) {
      for (const [incarnation, { isStored }] of crashes) {
        if (isStored && !shown.has(getSuspectKey(digest, incarnation).key)) this._remove(digest, incarnation)
      }
    }
  }

  /** Removes the crash in a row that a gateway has removed. */
  removeRow ({ key }: RowKey): void {
    const [digest = '', incarnation = ''] = key.split(SEPARATOR)
    this._remove(digest, incarnation)
  }

  /** Removes the crashes of an incarnation until a time since which it has responded; returns the keys of their rows. */
  removeIncarnation (incarnation: string, until: number): RowKey[] {
    if (!this._crashesOf.has(incarnation)) return []
    const digests = [...this._suspects].flatMap(([digest, crashes]) => (crashes.get(incarnation)?.at ?? Infinity) <= until ? digest : [])
    for (const digest of digests) this._remove(digest, incarnation)
    return digests.map(digest => getSuspectKey(digest, incarnation))
  }

  /** Removes a request that a target has answered; returns the incarnations whose crashes were recorded for it. */
  clear (digest: string): string[] {
    const incarnations = [...this._suspects.get(digest)?.keys() ?? []]
    for (const incarnation of incarnations) this._remove(digest, incarnation)
    return incarnations
  }

  /** Checks whether a request has crashed so many targets that it is refused, unless its refusal has ended. */
  isConfirmed (digest: string, now: number): boolean {
    const crashes = this._suspects.get(digest)
    return crashes !== undefined && crashes.size >= REFUSE_AFTER_INCARNATIONS && !isForgotten(crashes, now)
  }

  /** Gets the milliseconds for which a request is refused from now on; 0 if it may be run. */
  getRefusedMs (digest: string, now: number): number {
    return this.isConfirmed(digest, now) ? Math.max(0, getRefusedUntil(this._suspects.get(digest)!) - now) : 0
  }

  private _remove (digest: string, incarnation: string): void {
    const crashes = this._suspects.get(digest)
    if (crashes?.delete(incarnation) !== true) return
    if (crashes.size === 0) this._suspects.delete(digest)
    const others = this._crashesOf.get(incarnation)! - 1
    if (others === 0) this._crashesOf.delete(incarnation)
    else this._crashesOf.set(incarnation, others)
  }
}

/** Gets the end of the latest refusal. It follows from the times of the crashes alone, so that it is the same at all gateways. */
function getRefusedUntil (crashes: Suspect): number {
  const times = [...crashes.values()].map(({ at }) => at).sort((a, b) => a - b)
  let until = times[REFUSE_AFTER_INCARNATIONS - 1]! + REFUSAL_MS[0]
  let refusals = 1
  for (const time of times.slice(REFUSE_AFTER_INCARNATIONS)) {
    // Runs that were in progress when the refusal began do not renew it.
    if (time < until) continue
    until = time + REFUSAL_MS[Math.min(refusals++, REFUSAL_MS.length - 1)]!
  }
  return until
}

function isForgotten (crashes: Suspect, now: number): boolean {
  return now - Math.max(...[...crashes.values()].map(({ at }) => at)) >= SUSPECT_RETENTION_MS
}
