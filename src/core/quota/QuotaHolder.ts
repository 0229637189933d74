import type { Clock } from '../clock/index.js'
import type { Quota } from '../workspace/index.js'
import { QuotaBucket, type BucketLimit } from './QuotaBucket.js'
import type { QuotaHolders } from './QuotaHolders.js'

/**
 * Tokens by which a bucket is larger than its share of the burst, so that a share of less than one request serves requests that come
 * together.
 *
 * With {@link START_TOKENS}, four holders add at most 4 x (1 + 2 + 2 x 1) = 20 to the burst in a window in which each restarts twice.
 */
export const EXTRA_TOKENS = 2

/** Tokens of a bucket when its gateway starts; the predecessor's may still be in use. */
export const START_TOKENS = 1

/** Number of buckets above which full ones are removed. */
const BUCKETS_BEFORE_SWEEP = 1_000

/** Longest wait in milliseconds that a refusal states. */
const MAX_WAIT_MS = 60_000

/** Quota of a workspace in a version of the configuration; undefined if the version does not limit the workspace. */
export interface VersionedQuota {
  readonly version: number
  readonly quota: Quota | undefined
}

/** Request for tokens as sent to a holder. */
export interface QuotaRequest {
  readonly workspace: string
  /** Version of the configuration that states the quota. */
  readonly version: number
  readonly quota: Quota
  /** Number of tokens. */
  readonly tokens: number
}

/** Answer of a holder. */
export type QuotaLoan =
  /** Tokens that may be used from `waitMs` milliseconds on; ample if it does no harm that some expire unused. */
  | { readonly type: 'granted', readonly tokens: number, readonly isAmple: boolean, readonly waitMs: number }
  /** None now, but after `waitMs` milliseconds. */
  | { readonly type: 'refused', readonly waitMs: number }
  /** The gateway holds no share of the quota, or does not know yet that it does. */
  | { readonly type: 'not-holder' }

/** Options of {@link QuotaHolder}. */
export interface QuotaHolderOptions {
  readonly clock: Clock
  readonly holders: Pick<QuotaHolders, 'getLocalShare'>
  /** Gets the quota in the configuration of this gateway; undefined if that has no such workspace. */
  readonly getQuota?: (workspace: string) => VersionedQuota | undefined
}

interface HeldBucket {
  readonly bucket: QuotaBucket
  usedAt: number
  newest: VersionedQuota
}

/** Lends the tokens of this gateway's shares of quotas. */
export class QuotaHolder {
  private readonly _options: QuotaHolderOptions
  private readonly _startedAt: number
  private readonly _buckets = new Map<string, HeldBucket>()

  constructor (options: QuotaHolderOptions) {
    this._options = options
    this._startedAt = options.clock.now()
  }

  /** Lends tokens, by the newest quota that this gateway or a borrower has stated. */
  lend ({ workspace, version, quota, tokens }: QuotaRequest): QuotaLoan {
    const { clock, holders, getQuota } = this._options
    const local = holders.getLocalShare(workspace)
    if (local === undefined) {
      this._buckets.delete(workspace)
      return { type: 'not-holder' }
    }
    const now = clock.now()
    const existing = this._buckets.get(workspace)
    const newest = getNewest([existing?.newest, getQuota?.(workspace), { version, quota }])
    if (newest.quota === undefined) return { type: 'granted', tokens, isAmple: true, waitMs: 0 }
    const limit = getLimit(newest.quota, local.share)
    const since = Math.max(this._startedAt, local.heldSince)
    // Another gateway has held the share since the bucket was used: its tokens may still be in use.
    const held = existing !== undefined && existing.usedAt >= since ? existing : this._create(workspace, limit, newest, since)
    held.newest = newest
    held.usedAt = now
    held.bucket.setLimit(limit, now)
    const taken = held.bucket.take(tokens, now)
    if (taken.tokens > 0) return { type: 'granted', ...taken }
    return { type: 'refused', waitMs: Math.min(MAX_WAIT_MS, taken.waitMs) }
  }

  /** Creates a bucket that has filled since this gateway began to hold the share: nobody has taken from it. */
  private _create (workspace: string, limit: BucketLimit, newest: VersionedQuota, since: number): HeldBucket {
    const now = this._options.clock.now()
    if (this._buckets.size > BUCKETS_BEFORE_SWEEP) {
      for (const [name, { bucket }] of this._buckets) if (bucket.isFull(now)) this._buckets.delete(name)
    }
    const held = { bucket: new QuotaBucket(limit, START_TOKENS, since), usedAt: now, newest }
    this._buckets.set(workspace, held)
    return held
  }
}

function getLimit ({ perSecond, burst }: Quota, share: number): BucketLimit {
  return { perSecond: perSecond * share, capacity: Math.max(1, burst * share) + EXTRA_TOKENS }
}

function getNewest (quotas: ReadonlyArray<VersionedQuota | undefined>): VersionedQuota {
  return quotas.filter(quota => quota !== undefined).reduce((newest, quota) => quota.version > newest.version ? quota : newest)
}
