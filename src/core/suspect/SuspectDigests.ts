import { createHash } from 'node:crypto'

/** What identifies a request across retries. */
export interface SuspectIdentity {
  /** Workspace of the caller's key; undefined where the request needs none. */
  readonly workspace: string | undefined
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
  /** Identifies the request of one program after one turn; undefined without a program. */
  readonly request: string | undefined
  /**
   * Identifies the same path and body, from any address, in any program and after any turn of a workspace.
   *
   * A request may be sent again from another address or in a new program. Requests that are merely popular have one content as well; they
   * are told apart by their answers, see {@link AnsweredRequests}.
   */
  readonly content: string
}

/** Gets the digests that identify a request across retries. */
export function getSuspectDigests (identity: SuspectIdentity): SuspectDigests {
  const { workspace, program, method, host, target, previousTurn, body } = identity
  const bodyDigest = body === undefined ? null : createHash('sha1').update(body).digest('hex')
  const toDigest = (...sender: ReadonlyArray<string | null>): string => {
    return createHash('sha1').update(JSON.stringify([...sender, workspace ?? null, method, host, target, bodyDigest])).digest('hex')
  }
  return {
    request: program === undefined ? undefined : toDigest('request', program, previousTurn ?? null),
    content: toDigest('content')
  }
}
