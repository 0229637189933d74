import type { Clock } from '../../core/clock/index.js'
import type { LenderRanking, LimitedTarget } from '../../core/limits/index.js'
import type { LimitStatement } from '../../core/target/index.js'
import type { PeerPool } from './PeerPool.js'

/** Statement of a target as gateways pass it on; times are ages, because clocks of machines differ. */
export interface LimitNotice {
  readonly target: LimitedTarget
  /** Requests per second; null without a limit. */
  readonly perSecond: number | null
  readonly sentAgoMs: number
  readonly statedAgoMs: number
}

/** Options of {@link LimitPeers}. */
export interface LimitPeersOptions {
  readonly pool: PeerPool
  readonly clock: Clock
  readonly localId: string
  readonly ranking: LenderRanking
  /** Records a statement of a target that another gateway has passed on; returns whether the limit has changed. */
  readonly applyStatement: (target: string, statement: LimitStatement) => boolean
}

/**
 * Spreads changes of the limits that targets state: a gateway reports one to the target's lender, which notifies all others once.
 *
 * Needed because a gateway of a large deployment rarely uses a given target: by its own requests alone, each would learn a limit late.
 */
export class LimitPeers {
  private readonly _options: LimitPeersOptions

  constructor (options: LimitPeersOptions) {
    this._options = options
  }

  /** Passes on a change that a response to this gateway has shown. */
  async publish (target: LimitedTarget, statement: LimitStatement): Promise<void> {
    const { ranking, localId, pool } = this._options
    for (const lender of ranking.getLenders(target)) {
      if (lender === localId) {
        await this._notifyPeers(target, statement)
        return
      }
      const notice = this._encode(target, statement)
      const isReported = await pool.call(lender, { subject: target.key }, async (procedures, options) => {
        await procedures.reportLimit.mutate(notice, options)
        return true
      })
      if (isReported === true) return
    }
  }

  /** Applies a change reported to this gateway as the target's lender, and notifies the others if it is news. */
  receiveReport (notice: LimitNotice): void {
    if (this.receiveNotice(notice)) void this._notifyPeers(notice.target, this._decode(notice))
  }

  /** Applies a change that the target's lender has passed on; returns whether it is news. */
  receiveNotice (notice: LimitNotice): boolean {
    return this._options.applyStatement(notice.target.key, this._decode(notice))
  }

  private async _notifyPeers (target: LimitedTarget, statement: LimitStatement): Promise<void> {
    const { ranking, localId, pool } = this._options
    const notice = this._encode(target, statement)
    const others = ranking.getPeers().filter(({ id }) => id !== localId)
    await Promise.all(others.map(async ({ id }) => {
      await pool.call(id, { subject: target.key }, async (procedures, options) => { await procedures.notifyLimit.mutate(notice, options) })
    }))
  }

  private _encode (target: LimitedTarget, { perSecond, sentAt, statedAt }: LimitStatement): LimitNotice {
    const now = this._options.clock.now()
    return { target, perSecond: perSecond ?? null, sentAgoMs: Math.max(0, now - sentAt), statedAgoMs: Math.max(0, now - statedAt) }
  }

  private _decode ({ perSecond, sentAgoMs, statedAgoMs }: LimitNotice): LimitStatement {
    const now = this._options.clock.now()
    return { perSecond: perSecond ?? undefined, sentAt: now - sentAgoMs, statedAt: now - statedAgoMs }
  }
}
