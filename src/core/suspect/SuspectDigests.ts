import { createHash } from 'node:crypto'

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
  /** Identifies the path and the body alone, whoever sends them; for logs. */
  readonly content: string
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
    input: program === undefined ? undefined : toDigest('input', address),
    content: toDigest('content')
  }
}
