import type { Clock } from '../../core/clock/index.js'
import type { LenderRanking, LimitedTarget, PermitLedger, PermitResult } from '../../core/limits/index.js'
import type { LimitStatement, RequestLimit } from '../../core/target/index.js'
import type { PeerPool } from './PeerPool.js'

/** Time-out of one call to a lender, in milliseconds; allows for a round trip between regions, and is short because a request waits. */
const PERMIT_TIMEOUT_MS = 200

/** Milliseconds after which a gateway asks again when the one that it asked lends no permits for the target. */
const OTHER_LENDER_WAIT_MS = 1_000

/** Number of targets above which those without a permit that is still held are removed. */
const TARGETS_BEFORE_SWEEP = 1_000

/** Request for a permit as sent to a lender. */
export interface PermitLoanRequest {
  readonly target: LimitedTarget
  /** Rate that the target stated to the borrower, in requests per second. */
  readonly perSecond: number
  /** Milliseconds since that statement. */
  readonly statedAgoMs: number
  readonly maxWaitMs: number
  /** Milliseconds until the time of the latest permit that the borrower holds; undefined from gateways of earlier versions. */
  readonly heldMs?: number | undefined
}

/** Answer of a lender. */
export type PermitLoan = PermitResult | {
  /** The target no longer limits its rate. */
  readonly type: 'unlimited'
  /** Milliseconds since the request was sent whose response showed it. */
  readonly endedAgoMs: number
}

/** Answer to a request for a permit; unavailable if no lender was reached. */
export type PermitAnswer = PermitLoan | { readonly type: 'unavailable' }

/** Options of {@link PermitPeers}. */
export interface PermitPeersOptions {
  readonly pool: Pick<PeerPool, 'call'>
  readonly clock: Clock
  readonly localId: string
  readonly ranking: LenderRanking
  readonly ledger: PermitLedger
  /** Gets the limit of a target; undefined if this gateway does not list the target. */
  readonly getLimit: (target: string) => RequestLimit | undefined
  /** Records a statement of a target that another gateway has passed on. */
  readonly applyStatement: (target: string, statement: LimitStatement) => boolean
}

/** Borrows permits for requests to targets that limit their request rate, and lends those that this gateway is responsible for. */
export class PermitPeers {
  private readonly _options: PermitPeersOptions
  /** Times of the latest permits that this gateway holds, by the key of the target. */
  private readonly _heldUntil = new Map<string, number>()

  constructor (options: PermitPeersOptions) {
    this._options = options
  }

  /** Requests a permit from the first lender of the target that responds. */
  async request (target: LimitedTarget, limit: RequestLimit, maxWaitMs: number): Promise<PermitAnswer> {
    const { ranking, localId, clock } = this._options
    const perSecond = limit.getPerSecond()
    if (perSecond === undefined) return { type: 'granted', waitMs: 0 }
    for (const lender of ranking.getLenders(target)) {
      const askedAt = clock.now()
      const req = {
        target,
        perSecond,
        statedAgoMs: Math.max(0, askedAt - limit.getStatedAt()),
        maxWaitMs,
        heldMs: Math.max(0, (this._heldUntil.get(target.key) ?? 0) - askedAt)
      }
      const loan = lender === localId ? this.lend(req) : await this._borrow(lender, req)
      if (loan?.type === 'granted') this._recordHeld(target.key, askedAt + loan.waitMs)
      if (loan !== undefined) return loan
    }
    return { type: 'unavailable' }
  }

  /** Lends a permit, if this gateway is a lender of the target. */
  lend (req: PermitLoanRequest): PermitLoan {
    const { ranking, ledger, clock, getLimit, applyStatement } = this._options
    const { target, maxWaitMs, heldMs } = req
    const share = ranking.getLocalShare(target)
    if (share === 0) return { type: 'refused', waitMs: OTHER_LENDER_WAIT_MS }
    const now = clock.now()
    const statedAt = now - req.statedAgoMs
    // A lender that was restarted learns the limit from those that borrow.
    applyStatement(target.key, { perSecond: req.perSecond, sentAt: statedAt, statedAt })
    const limit = getLimit(target.key)
    const perSecond = limit === undefined ? req.perSecond : limit.getPerSecond()
    if (perSecond === undefined) return { type: 'unlimited', endedAgoMs: Math.max(0, now - limit!.getEndedAt()) }
    return ledger.request({ target: target.key, perSecond: perSecond * share, maxWaitMs, heldMs })
  }

  private async _borrow (lender: string, req: PermitLoanRequest): Promise<PermitLoan | undefined> {
    const { pool } = this._options
    return await pool.call(lender, { subject: req.target.key, timeoutMs: PERMIT_TIMEOUT_MS }, async (procedures, options) => {
      return await procedures.lendPermit.mutate(req, options)
    })
  }

  private _recordHeld (target: string, until: number): void {
    if (this._heldUntil.size > TARGETS_BEFORE_SWEEP) {
      const now = this._options.clock.now()
      for (const [key, time] of this._heldUntil) if (time < now) this._heldUntil.delete(key)
    }
    this._heldUntil.set(target, Math.max(until, this._heldUntil.get(target) ?? 0))
  }
}
