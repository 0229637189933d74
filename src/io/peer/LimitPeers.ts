import type { LimitedTarget } from '../../core/limits/index.js'
import type { LimitStatement } from '../../core/target/index.js'
import type { PeerClient } from './PeerClient.js'
import { TargetNewsPeers, type TargetNewsCallOptions, type TargetNewsPeersOptions, type TargetNotice } from './TargetNewsPeers.js'

/** Statement of a target about its limit as gateways pass it on. */
export interface LimitNotice extends TargetNotice {
  /** Requests per second; null without a limit. */
  readonly perSecond: number | null
  readonly sentAgoMs: number
  readonly statedAgoMs: number
}

/** Options of {@link LimitPeers}. */
export interface LimitPeersOptions extends TargetNewsPeersOptions {
  /** Records a statement of a target that another gateway has passed on; returns whether the limit has changed. */
  readonly applyStatement: (target: string, statement: LimitStatement) => boolean
}

/** Spreads changes of the limits that targets state. */
export class LimitPeers extends TargetNewsPeers<LimitStatement, LimitNotice> {
  private readonly _options: LimitPeersOptions

  constructor (options: LimitPeersOptions) {
    super(options)
    this._options = options
  }

  protected encode (target: LimitedTarget, { perSecond, sentAt, statedAt }: LimitStatement, now: number): LimitNotice {
    return { target, perSecond: perSecond ?? null, sentAgoMs: Math.max(0, now - sentAt), statedAgoMs: Math.max(0, now - statedAt) }
  }

  protected decode ({ perSecond, sentAgoMs, statedAgoMs }: LimitNotice, now: number): LimitStatement {
    return { perSecond: perSecond ?? undefined, sentAt: now - sentAgoMs, statedAt: now - statedAgoMs }
  }

  protected apply (target: LimitedTarget, statement: LimitStatement): boolean {
    return this._options.applyStatement(target.key, statement)
  }

  protected async report (procedures: PeerClient['procedures'], notice: LimitNotice, options: TargetNewsCallOptions): Promise<void> {
    await procedures.reportLimit.mutate(notice, options)
  }

  protected async notify (procedures: PeerClient['procedures'], notice: LimitNotice, options: TargetNewsCallOptions): Promise<void> {
    await procedures.notifyLimit.mutate(notice, options)
  }
}
