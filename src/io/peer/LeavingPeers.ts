import type { LimitedTarget } from '../../core/limits/index.js'
import type { PeerClient } from './PeerClient.js'
import { TargetNewsPeers, type TargetNewsCallOptions, type TargetNewsPeersOptions, type TargetNotice } from './TargetNewsPeers.js'

/** Statement of a target that it is leaving, as gateways pass it on. */
export interface LeavingNotice extends TargetNotice {
  readonly statedAgoMs: number
}

/** Options of {@link LeavingPeers}. */
export interface LeavingPeersOptions extends TargetNewsPeersOptions {
  /** Records that a target is leaving, as another gateway has passed on; returns whether that is news. */
  readonly applyLeaving: (target: string, statedAt: number) => boolean
}

/** Spreads that targets are leaving; a statement is the time at which it was made. */
export class LeavingPeers extends TargetNewsPeers<number, LeavingNotice> {
  private readonly _options: LeavingPeersOptions

  constructor (options: LeavingPeersOptions) {
    super(options)
    this._options = options
  }

  protected encode (target: LimitedTarget, statedAt: number, now: number): LeavingNotice {
    return { target, statedAgoMs: Math.max(0, now - statedAt) }
  }

  protected decode ({ statedAgoMs }: LeavingNotice, now: number): number {
    return now - statedAgoMs
  }

  protected apply (target: LimitedTarget, statedAt: number): boolean {
    return this._options.applyLeaving(target.key, statedAt)
  }

  protected async report (procedures: PeerClient['procedures'], notice: LeavingNotice, options: TargetNewsCallOptions): Promise<void> {
    await procedures.reportLeaving.mutate(notice, options)
  }

  protected async notify (procedures: PeerClient['procedures'], notice: LeavingNotice, options: TargetNewsCallOptions): Promise<void> {
    await procedures.notifyLeaving.mutate(notice, options)
  }
}
