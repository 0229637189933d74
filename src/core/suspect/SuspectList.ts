import { createHash } from 'node:crypto'
import type { RowKey, RowPut } from '../platform/index.js'

/** Table of crashes: one row for each request and each lifetime of a target that broke off while it ran the request. */
export const SUSPECT_TABLE = 'suspects'

/** Lifetimes of targets that a request may break before it is refused. */
export const REFUSE_AFTER_INCARNATIONS = 3

/** Requests that are remembered; the oldest yield. */
const MAX_SUSPECTS = 10_000

/** Digest and lifetime in a row's key. */
const SEPARATOR = '/'

/** Gets the digest by which a request is known when it comes again; undefined without a body, which would be shared by many requests. */
export function getSuspectDigest (host: string, target: string, body: Buffer | undefined): string | undefined {
  if (body === undefined || body.length === 0) return undefined
  return createHash('sha1').update(host).update('\u0000').update(target).update('\u0000').update(body).digest('hex')
}

/** Gets the row that tells all gateways of a crash; writing it twice is harmless. */
export function toSuspectRow (digest: string, incarnation: string): RowPut {
  return { table: SUSPECT_TABLE, part: '', key: `${digest}${SEPARATOR}${incarnation}`, value: Buffer.alloc(0) }
}

/**
 * Knows which requests broke targets.
 *
 * Answers a request that crashes each target that runs it and comes again at any gateway.
 */
export class SuspectList {
  private readonly _incarnations = new Map<string, Set<string>>()

  /** Notes that a target broke off while it ran a request; returns whether the request is refused from now on. */
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

  /** Takes a row that a gateway wrote. */
  addRow (key: RowKey): boolean {
    const [digest, incarnation] = key.key.split(SEPARATOR)
    return digest !== undefined && incarnation !== undefined && this.add(digest, incarnation)
  }

  /** Tells whether a request may not be run any more. */
  isRefused (digest: string | undefined): boolean {
    return digest !== undefined && (this._incarnations.get(digest)?.size ?? 0) >= REFUSE_AFTER_INCARNATIONS
  }
}
