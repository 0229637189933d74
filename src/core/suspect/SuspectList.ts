import { createHash } from 'node:crypto'
import type { RowKey, RowPut } from '../platform/index.js'

/** Table of crashes: one row for each request and incarnation of a target whose connection was lost while it ran the request. */
export const SUSPECT_TABLE = 'suspects'

/** Number of crashed target incarnations at which a request is refused. */
export const REFUSE_AFTER_INCARNATIONS = 3

/** Maximum number of requests that are kept; the oldest are evicted. */
const MAX_SUSPECTS = 10_000

/** Separator of digest and incarnation in a row's key. */
const SEPARATOR = '/'

/** Gets the digest that identifies a request across retries; undefined without a body, because unrelated requests would share it. */
export function getSuspectDigest (host: string, target: string, body: Buffer | undefined): string | undefined {
  if (body === undefined || body.length === 0) return undefined
  return createHash('sha1').update(host).update('\u0000').update(target).update('\u0000').update(body).digest('hex')
}

/** Gets the row that shares a crash with all gateways; writing it twice has no further effect. */
export function toSuspectRow (digest: string, incarnation: string): RowPut {
  return { table: SUSPECT_TABLE, part: '', key: `${digest}${SEPARATOR}${incarnation}`, value: Buffer.alloc(0) }
}

/**
 * Tracks which requests crashed targets.
 *
 * Handles a request that crashes each target that runs it and is retried at any gateway: after a few crashes it is refused instead.
 */
export class SuspectList {
  private readonly _incarnations = new Map<string, Set<string>>()

  /** Records that the connection to a target was lost while it ran a request; returns true if the request is refused from now on. */
  add (digest: string, incarnation: string): boolean {
    const incarnations = this._incarnations.get(digest) ?? new Set()
    this._incarnations.set(digest, incarnations)
    if (incarnations.has(incarnation)) return false
    incarnations.add(incarnation)
    if (this._incarnations.size > MAX_SUSPECTS) {
      const [oldest] = this._incarnations.keys()
      this._incarnations.delete(oldest!)
    }
    return incarnations.size === REFUSE_AFTER_INCARNATIONS
  }

  /** Adds the crash in a row that a gateway wrote; returns true if the request is refused from now on. */
  addRow (key: RowKey): boolean {
    const [digest, incarnation] = key.key.split(SEPARATOR)
    return digest !== undefined && incarnation !== undefined && this.add(digest, incarnation)
  }

  /** Checks whether a request has to be refused. */
  isRefused (digest: string | undefined): boolean {
    return digest !== undefined && (this._incarnations.get(digest)?.size ?? 0) >= REFUSE_AFTER_INCARNATIONS
  }
}
