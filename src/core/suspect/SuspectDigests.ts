import { createHash } from 'node:crypto'

/** Number of bytes by which bodies that begin alike are recognized. */
const OPENING_BYTES = 256

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
  /**
   * Identifies the same path and the same beginning of longer bodies, in any program of a workspace; undefined for a short body.
   *
   * The prompt of each turn repeats the earlier ones, so that what crashes targets comes again with something else behind it. Requests with
   * a common beginning are told apart by the answers to any of them.
   */
  readonly opening: string | undefined
}

/** Gets the digests that identify a request across retries. */
export function getSuspectDigests (identity: SuspectIdentity): SuspectDigests {
  const { workspace, program, method, host, target, previousTurn, body } = identity
  const bodyDigest = body === undefined ? null : sha1(body)
  const toDigest = (kind: string, bytesDigest: string | null, ...sender: ReadonlyArray<string | null>): string => {
    return sha1(JSON.stringify([kind, ...sender, workspace ?? null, method, host, target, bytesDigest]))
  }
  const hasOpening = body !== undefined && body.length > OPENING_BYTES
  return {
    request: program === undefined ? undefined : toDigest('request', bodyDigest, program, previousTurn ?? null),
    content: toDigest('content', bodyDigest),
    opening: hasOpening ? toDigest('opening', sha1(body.subarray(0, OPENING_BYTES))) : undefined
  }
}

/** Gets the digests of a request from the narrowest to the widest. */
export function getAllDigests ({ request, content, opening }: SuspectDigests): string[] {
  return [request, content, opening].filter(digest => digest !== undefined)
}

function sha1 (data: string | Buffer): string {
  return createHash('sha1').update(data).digest('hex')
}
