import type { Clock } from '../../core/clock/index.js'
import type { LenderRanking, LimitedTarget } from '../../core/limits/index.js'
import type { PeerClient } from './PeerClient.js'
import type { PeerPool } from './PeerPool.js'

/** What a gateway passes on about a target; times are ages, because clocks of machines differ. */
export interface TargetNotice {
  readonly target: LimitedTarget
}

/** Options of {@link TargetNewsPeers}. */
export interface TargetNewsPeersOptions {
  readonly pool: PeerPool
  readonly clock: Clock
  readonly localId: string
  readonly ranking: LenderRanking
}

/** Options of one call to a peer. */
export interface TargetNewsCallOptions {
  readonly signal: AbortSignal
}

/**
 * Spreads what targets state in their responses: a gateway reports it to the target's lender, which notifies all others once.
 *
 * Needed because a gateway of a large deployment rarely uses a given target: by its own requests alone, each would learn it late.
 */
export abstract class TargetNewsPeers<Statement, Notice extends TargetNotice> {
  private readonly _news: TargetNewsPeersOptions

  constructor (options: TargetNewsPeersOptions) {
    this._news = options
  }

  /** Passes on a statement that a response to this gateway has shown. */
  async publish (target: LimitedTarget, statement: Statement): Promise<void> {
    const { ranking, localId, pool } = this._news
    for (const lender of ranking.getLenders(target)) {
      if (lender === localId) {
        await this.receiveLocal(target, statement)
        return
      }
      const notice = this.encode(target, statement, this._news.clock.now())
      const isReported = await pool.call(lender, { subject: target.key }, async (procedures, options) => {
        await this.report(procedures, notice, options)
        return true
      })
      if (isReported === true) return
    }
  }

  /** Applies a statement reported to this gateway as the target's lender, and notifies the others if it is news. */
  receiveReport (notice: Notice): void {
    if (this.receiveNotice(notice)) void this.notifyPeers(notice.target, this.decode(notice, this._news.clock.now()))
  }

  /** Applies a statement that the target's lender has passed on; returns whether it is news. */
  receiveNotice (notice: Notice): boolean {
    return this.apply(notice.target, this.decode(notice, this._news.clock.now()))
  }

  /** Handles a statement of this gateway's own as the target's lender; it was applied before. */
  protected async receiveLocal (target: LimitedTarget, statement: Statement): Promise<void> {
    await this.notifyPeers(target, statement)
  }

  /** Converts a statement to what is passed on now. */
  protected abstract encode (target: LimitedTarget, statement: Statement, now: number): Notice
  /** Converts what arrived now to a statement. */
  protected abstract decode (notice: Notice, now: number): Statement
  /** Applies a statement; returns whether it is news. */
  protected abstract apply (target: LimitedTarget, statement: Statement): boolean
  /** Sends a notice to the target's lender. */
  protected abstract report (procedures: PeerClient['procedures'], notice: Notice, options: TargetNewsCallOptions): Promise<void>
  /** Sends a notice to a peer that doesn't pass it on. */
  protected abstract notify (procedures: PeerClient['procedures'], notice: Notice, options: TargetNewsCallOptions): Promise<void>

  /** Notifies all other gateways. */
  protected async notifyPeers (target: LimitedTarget, statement: Statement): Promise<void> {
    const { ranking, localId, pool, clock } = this._news
    const notice = this.encode(target, statement, clock.now())
    const others = ranking.getPeers().filter(({ id }) => id !== localId)
    await Promise.all(others.map(async ({ id }) => {
      await pool.call(id, { subject: target.key }, async (procedures, options) => { await this.notify(procedures, notice, options) })
    }))
  }
}
