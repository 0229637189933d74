import type { Clock } from '../clock/index.js'
import type { Quota } from '../workspace/index.js'
import { QuotaBucket, type BucketResult } from './QuotaBucket.js'
import type { QuotaDebts } from './QuotaDebts.js'
import type { LocalShare, QuotaHolders } from './QuotaHolders.js'
import { getShareLimits, type QuotaTolerance, type ShareLimits } from './QuotaTolerance.js'
import { SpanCount } from './SpanCount.js'

/** Part of its capacity below which a bucket has its next debt recorded, so that the record is there before a request needs it. */
const RECORD_SHARE = 0.5

/** Number of buckets above which full ones are removed. */
const BUCKETS_BEFORE_SWEEP = 1_000

/** Milliseconds since the start in which a holder waits for the record of its predecessor's debts; then it assumes the largest ones. */
const DEBTS_WAIT_MS = 1_000

/** Milliseconds after which a borrower may ask again that was refused because the debts are not known yet. */
const DEBTS_RETRY_MS = 50

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
  /** Number of these tokens for which requests of programs in progress wait; 0 by default. */
  readonly inProgress?: number | undefined
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
  /** Undefined if the deployment states none. */
  readonly tolerance?: QuotaTolerance | undefined
  /** Debts that are recorded; without them buckets lend no token before it exists. */
  readonly debts?: Pick<QuotaDebts, 'isOpen' | 'getInherited' | 'getRecorded' | 'state'> | undefined
}

interface HeldBucket {
  readonly bucket: QuotaBucket
  /** Tokens lent lately. */
  readonly lent: SpanCount
  /** Time since when this gateway knows all that was lent of the share. */
  readonly since: number
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
  lend ({ workspace, version, quota, tokens, inProgress = 0 }: QuotaRequest): QuotaLoan {
    const { clock, holders, getQuota, tolerance } = this._options
    const local = holders.getLocalShare(workspace)
    // The bucket is kept: the gateway may hold the share still, and only not know the list of gateways at the moment.
    if (local === undefined) return { type: 'not-holder' }
    const now = clock.now()
    const existing = this._buckets.get(workspace)
    const newest = getNewest([existing?.newest, getQuota?.(workspace), { version, quota }])
    if (newest.quota === undefined) return { type: 'granted', tokens, isAmple: true, waitMs: 0 }
    const limits = getShareLimits(newest.quota, local.share, tolerance)
    if (limits.maxDebt > 0 && this._awaitsDebts(now)) return { type: 'refused', waitMs: DEBTS_RETRY_MS }
    const since = Math.max(this._startedAt, local.heldSince)
    // Another gateway has held the share since the bucket was used: its tokens may still be in use.
    const held = existing !== undefined && existing.usedAt >= since ? existing : this._create(workspace, limits, newest, since, local)
    held.newest = newest
    held.usedAt = now
    held.bucket.setLimit(limits, now)
    const taken = this._take(workspace, held, limits, tokens, inProgress)
    held.lent.add(taken.tokens, now)
    if (taken.tokens > 0) return { type: 'granted', ...taken }
    return { type: 'refused', waitMs: Math.min(MAX_WAIT_MS, taken.waitMs) }
  }

  private _awaitsDebts (now: number): boolean {
    const { debts } = this._options
    return debts !== undefined && !debts.isOpen() && now - this._startedAt < DEBTS_WAIT_MS
  }

  /**
   * Takes tokens that exist, and for programs in progress further ones that do not yet exist.
   *
   * Answers programs whose requests come together: refusing one of them loses the whole program, so that they may use what the rate fills
   * within the window. New programs get only what exists, so that the debt is paid back.
   */
  private _take (
    workspace: string, { bucket, lent, since }: HeldBucket, limits: ShareLimits, tokens: number, inProgress: number
  ): BucketResult {
    const { clock, debts } = this._options
    const { capacity, maxDebt, maxInSpan, spanMs } = limits
    const now = clock.now()
    const left = Math.floor(maxInSpan - lent.getCount(spanMs, now))
    if (left < 1) return { tokens: 0, isAmple: false, waitMs: Math.ceil(lent.getWaitMs(spanMs, now)) }
    const taken = bucket.take(Math.min(tokens, left), now)
    // Only what was lent in the whole span tells what may be lent in advance.
    if (debts === undefined || maxDebt === 0 || now - since < spanMs) return taken
    const level = bucket.getLevel(now)
    const missing = Math.min(inProgress, left) - taken.tokens
    const advanced = missing > 0 ? bucket.take(missing, now, Math.min(maxDebt, debts.getRecorded(workspace))) : undefined
    if (level < capacity * RECORD_SHARE) debts.state(workspace, -bucket.getLevel(now), maxDebt, now)
    if (advanced === undefined || (advanced.tokens === 0 && taken.tokens > 0)) return taken
    const waitMs = taken.tokens === 0 ? advanced.waitMs : Math.max(taken.waitMs, advanced.waitMs)
    return { tokens: taken.tokens + advanced.tokens, isAmple: false, waitMs }
  }

  /** Creates a bucket that has filled since this gateway began to hold the share: nobody has taken from it. */
  private _create (
    workspace: string, limits: ShareLimits, newest: VersionedQuota, since: number, { heldSince, hadOtherHolder }: LocalShare
  ): HeldBucket {
    const { clock, debts } = this._options
    const now = clock.now()
    if (this._buckets.size > BUCKETS_BEFORE_SWEEP) {
      for (const [name, { bucket, lent }] of this._buckets) {
        if (bucket.isFull(now) && lent.getCount(limits.spanMs, now) === 0) this._buckets.delete(name)
      }
    }
    // Only the debts of an earlier process of this gateway are known, not those of the gateway that held the share before.
    const isOthers = hadOtherHolder && heldSince > this._startedAt - limits.spanMs
    const debt = isOthers ? limits.maxDebt : Math.min(limits.maxDebt, debts?.getInherited(workspace) ?? Infinity)
    const held = { bucket: new QuotaBucket(limits, limits.startTokens - debt, since), lent: new SpanCount(), since, usedAt: now, newest }
    this._buckets.set(workspace, held)
    return held
  }
}

function getNewest (quotas: ReadonlyArray<VersionedQuota | undefined>): VersionedQuota {
  return quotas.filter(quota => quota !== undefined).reduce((newest, quota) => quota.version > newest.version ? quota : newest)
}
