import type { AgeClock, Clock, Moment } from '../clock/index.js'
import type { Quota } from '../workspace/index.js'
import { QuotaGrants, type QuotaGrant } from './QuotaGrants.js'
import type { QuotaLoan } from './QuotaHolder.js'
import { RecentRate } from './RecentRate.js'

/** Seconds of recent demand that are borrowed in advance: less than the validity of a grant, so that few tokens expire. */
const PREFETCH_SECONDS = 0.25

/** Smallest number of tokens that is borrowed in advance while tokens are few: some requests of one program are no lasting demand. */
const MIN_PREFETCH = 2

/** The same in seconds while holders have ample tokens, so that a request finds one more often than it waits for a call. */
const AMPLE_PREFETCH_SECONDS = 0.4

/** Age in milliseconds from which tokens do not count as stock when the next ones are borrowed. */
const STOCK_AGE_MS = 300

/** Share of what is borrowed in advance at which the next tokens are borrowed: used up in 60 ms, longer than a call between regions. */
const REORDER_SHARE = 0.25

/** Milliseconds after which a holder is asked again that had too few tokens; they double with each further time. */
const MIN_PAUSE_MS = 50

/** Longest pause after too few tokens, in milliseconds: 37 gateways then ask a holder about 90 times a second. */
const MAX_PAUSE_MS = 400

/** Milliseconds for which a holder is not asked that did not answer, or that lends no tokens of the workspace. */
export const SKIP_MS = 500

/** Shortest time in milliseconds after which a refused caller should return. */
const MIN_RETURN_MS = 300

/** Longest time in milliseconds over which the returns of refused callers are spread. */
const MAX_RETURN_MS = 5_000

/** Lowest rate of returns, per second. */
const MIN_RETURNS_PER_SECOND = 0.5

interface HolderState {
  nextAskAt: number
  pauseMs: number
  isLending: boolean
}

/** Options of {@link QuotaBorrower}. */
export interface QuotaBorrowerOptions {
  readonly clock: Clock
  readonly ages: AgeClock
  /** Gets a random number in [0, 1). */
  readonly random: () => number
  readonly onExpired?: (tokens: number) => void
}

/** Decides for one workspace how many tokens a gateway borrows, of which holder, and when refused callers should return. */
export class QuotaBorrower {
  private readonly _options: QuotaBorrowerOptions
  private readonly _grants: QuotaGrants
  private readonly _demand = new RecentRate()
  private readonly _admitted = new RecentRate()
  private readonly _holders = new Map<string, HolderState>()
  /** What holders answered to requests of programs in progress, for which they have further tokens. */
  private readonly _inProgressHolders = new Map<string, HolderState>()
  /** True if the holder that was asked last has ample tokens. */
  private _isAmple = false
  private _returnAt = -Infinity
  private _usedAt = -Infinity
  private _version = -Infinity
  private _quota: Quota = { perSecond: 0, burst: 0 }

  constructor (options: QuotaBorrowerOptions) {
    this._options = options
    this._grants = new QuotaGrants(options.ages, options.onExpired)
  }

  /** Records a request under a version of the configuration. */
  recordDemand (version: number, quota: Quota): void {
    const now = this._options.clock.now()
    this._demand.record(now)
    this._usedAt = now
    if (version < this._version) return
    this._version = version
    this._quota = quota
  }

  /** Gets the newest version and quota that a request has stated. */
  getQuota (): { readonly version: number, readonly quota: Quota } {
    return { version: this._version, quota: this._quota }
  }

  /** Gets the time of the latest request by the steady clock. */
  getUsedAt (): number {
    return this._usedAt
  }

  /** Takes a token for a request; undefined if there is none. */
  take (): QuotaGrant | undefined {
    const grant = this._grants.take()
    if (grant !== undefined) this._admitted.record(this._options.clock.now())
    return grant
  }

  /** Returns the token of a request that has not run. */
  giveBack (grant: QuotaGrant): void {
    this._grants.giveBack(grant)
  }

  /** Gets the number of tokens to borrow for requests that wait and for the demand of the next moments; 0 if there are enough. */
  getWanted (waiting: number): number {
    const stock = this._grants.count(STOCK_AGE_MS)
    const demand = this._demand.getPerSecond(this._options.clock.now())
    const ahead = this._isAmple ? Math.round(demand * AMPLE_PREFETCH_SECONDS) : Math.floor(demand * PREFETCH_SECONDS)
    if (!this._isAmple && ahead < MIN_PREFETCH) return Math.max(0, waiting - stock)
    if (stock >= waiting + Math.max(1, ahead * REORDER_SHARE)) return 0
    return Math.max(0, waiting + ahead - stock)
  }

  /** Gets the first of the holders that may be asked now, for requests of programs in progress or for others. */
  getNextHolder (holders: readonly string[], isInProgress = false): string | undefined {
    const now = this._options.clock.now()
    return holders.find(id => this._getNextAskAt(id, isInProgress) <= now)
  }

  /** Gets the number of tokens that are left or exist soon. */
  getStock (): number {
    return this._grants.count()
  }

  /**
   * Records the answer of a holder that was asked for `wanted` tokens; undefined if it did not answer.
   *
   * @param inProgress - Number of the tokens that were wanted for programs in progress.
   */
  recordLoan (holder: string, wanted: number, requestedAt: Moment, loan: QuotaLoan | undefined, inProgress = 0): void {
    this._isAmple = loan?.type === 'granted' && loan.isAmple
    if (loan === undefined || loan.type === 'not-holder') {
      for (const states of [this._holders, this._inProgressHolders]) {
        const pauseMs = states.get(holder)?.pauseMs ?? MIN_PAUSE_MS
        states.set(holder, { nextAskAt: this._options.clock.now() + SKIP_MS, pauseMs, isLending: false })
      }
      return
    }
    const tokens = loan.type === 'granted' ? loan.tokens : 0
    if (loan.type === 'granted') this._grants.add(requestedAt, tokens, loan.waitMs)
    if (inProgress > 0) this._recordTokens(this._inProgressHolders, holder, tokens >= inProgress, loan.waitMs)
    this._recordTokens(this._holders, holder, tokens >= wanted, loan.waitMs)
  }

  private _recordTokens (states: Map<string, HolderState>, holder: string, isEnough: boolean, waitMs: number): void {
    if (isEnough) {
      states.set(holder, { nextAskAt: -Infinity, pauseMs: MIN_PAUSE_MS, isLending: true })
      return
    }
    const pauseMs = states.get(holder)?.pauseMs ?? MIN_PAUSE_MS
    const nextAskAt = this._options.clock.now() + Math.max(pauseMs, waitMs)
    states.set(holder, { nextAskAt, pauseMs: Math.min(MAX_PAUSE_MS, 2 * pauseMs), isLending: true })
  }

  private _getNextAskAt (holder: string, isInProgress: boolean): number {
    const states = isInProgress ? this._inProgressHolders : this._holders
    return states.get(holder)?.nextAskAt ?? -Infinity
  }

  /** Gets the time by the steady clock at which a holder may be asked again; Infinity if none is known. */
  getNextAskAt (holders: readonly string[], isInProgress = false): number {
    return Math.min(...holders.map(id => this._getNextAskAt(id, isInProgress)))
  }

  /** Gets the time by the steady clock at which there may be a token; Infinity if no holder is known. */
  getNextTokenAt (holders: readonly string[], isInProgress = false): number {
    return Math.min(this._grants.getUsableAt(), this.getNextAskAt(holders, isInProgress))
  }

  /** Checks whether any of the holders has answered when it was last asked. */
  isAnyLending (holders: readonly string[]): boolean {
    return holders.some(id => this._holders.get(id)?.isLending === true || this._inProgressHolders.get(id)?.isLending === true)
  }

  /**
   * Gets the seconds after which a refused caller should return.
   *
   * Callers are spread at the rate at which requests of the workspace are admitted here, so that they do not return together.
   */
  getReturnSeconds (holders: readonly string[]): number {
    const { clock, random } = this._options
    const now = clock.now()
    const next = this.getNextTokenAt(holders)
    const firstMs = Math.max(MIN_RETURN_MS, Number.isFinite(next) ? next - now : 0)
    const intervalMs = 1_000 / Math.max(MIN_RETURNS_PER_SECOND, this._admitted.getPerSecond(now))
    this._returnAt = Math.max(this._returnAt, now + firstMs) + intervalMs * random()
    if (this._returnAt - now <= MAX_RETURN_MS) return (this._returnAt - now) / 1_000
    this._returnAt = now + MAX_RETURN_MS
    return (firstMs + random() * MAX_RETURN_MS) / 1_000
  }
}
