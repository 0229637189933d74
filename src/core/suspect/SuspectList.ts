import { createHash } from 'node:crypto'
import type { RowKey, RowPut } from '../platform/index.js'

/** Table of crashes: one row for each request and incarnation of a target that crashed while it ran the request. */
export const SUSPECT_TABLE = 'suspects'

/** Number of crashed target incarnations at which a request is refused. */
export const REFUSE_AFTER_INCARNATIONS = 3

/** Milliseconds after its third crash for which a request is refused; doubled with each further one. It ends, as it may be harmless. */
export const REFUSAL_MS = 60_000

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
export function toSuspectRow (digest: string, incarnation: string): RowPut {
  return { ...getSuspectKey(digest, incarnation), value: Buffer.alloc(0) }
}

interface Suspect {
  readonly incarnations: Set<string>
  latestAt: number
}

/**
 * Tracks which requests crashed targets.
 *
 * Handles a request that crashes each target that runs it and is retried at any gateway: after a few crashes it is refused instead. The
 * refusal ends, after which one further crash renews it for twice the time. A request that a target answers crashes none.
 */
export class SuspectList {
  private readonly _suspects = new Map<string, Suspect>()

  /** Records that a request crashed a target; returns true if the request is refused from now on. */
  add (digest: string, incarnation: string, now: number): boolean {
    const known = this._suspects.get(digest)
    const suspect = known === undefined || isForgotten(known, now) ? { incarnations: new Set<string>(), latestAt: now } : known
    if (suspect.incarnations.has(incarnation)) return false
    suspect.incarnations.add(incarnation)
    suspect.latestAt = now
    // The latest is moved to the end, so that the oldest is evicted.
    this._suspects.delete(digest)
    this._suspects.set(digest, suspect)
    if (this._suspects.size > MAX_SUSPECTS) {
      const [oldest] = this._suspects.keys()
      this._suspects.delete(oldest!)
    }
    return suspect.incarnations.size >= REFUSE_AFTER_INCARNATIONS
  }

  /** Adds the crash in a row that a gateway wrote; returns true if the request is refused from now on. */
  addRow (key: RowKey, now: number): boolean {
    const [digest, incarnation] = key.key.split(SEPARATOR)
    return digest !== undefined && incarnation !== undefined && this.add(digest, incarnation, now)
  }

  /** Removes the crash in a row that a gateway has removed. */
  removeRow (key: RowKey): void {
    const [digest = '', incarnation = ''] = key.key.split(SEPARATOR)
    this._suspects.get(digest)?.incarnations.delete(incarnation)
  }

  /** Removes a request that a target has answered; returns the incarnations whose crashes were recorded for it. */
  clear (digest: string): string[] {
    const incarnations = [...this._suspects.get(digest)?.incarnations ?? []]
    this._suspects.delete(digest)
    return incarnations
  }

  /** Checks whether a request has to be refused. */
  isRefused (digest: string | undefined, now: number): boolean {
    const suspect = digest === undefined ? undefined : this._suspects.get(digest)
    if (suspect === undefined || suspect.incarnations.size < REFUSE_AFTER_INCARNATIONS || isForgotten(suspect, now)) return false
    return now - suspect.latestAt < REFUSAL_MS * 2 ** (suspect.incarnations.size - REFUSE_AFTER_INCARNATIONS)
  }
}

function isForgotten (suspect: Suspect, now: number): boolean {
  return now - suspect.latestAt >= SUSPECT_RETENTION_MS
}
