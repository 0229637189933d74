import type { LimitedTarget } from '../../core/limits/index.js'
import type { FailureReports } from '../../core/target/index.js'
import type { PeerClient } from './PeerClient.js'
import { TargetNewsPeers, type TargetNewsCallOptions, type TargetNewsPeersOptions, type TargetNotice } from './TargetNewsPeers.js'

/** Failure of a target that a gateway has seen. */
export interface TargetFailure {
  /** Id of the gateway that saw it. */
  readonly reporter: string
  /** Time of the failure, by the steady clock in milliseconds. */
  readonly failedAt: number
}

/** Failure of a target, as gateways pass it on. */
export interface FailureNotice extends TargetNotice {
  readonly reporter: string
  readonly failedAgoMs: number
}

/** Options of {@link FailurePeers}. */
export interface FailurePeersOptions extends TargetNewsPeersOptions {
  readonly reports: FailureReports
  /** Records that several gateways saw failures of a target; returns whether that is news. */
  readonly applyFailures: (target: string, failedAt: number) => boolean
}

/** Spreads that targets fail: gateways report each failure to the target's lender, which notifies all once several have seen one. */
export class FailurePeers extends TargetNewsPeers<TargetFailure, FailureNotice> {
  private readonly _options: FailurePeersOptions

  constructor (options: FailurePeersOptions) {
    super(options)
    this._options = options
  }

  override receiveReport (notice: FailureNotice): void {
    void this.receiveLocal(notice.target, this.decode(notice, this._options.clock.now()))
  }

  protected override async receiveLocal (target: LimitedTarget, failure: TargetFailure): Promise<void> {
    const { reports, clock } = this._options
    if (!reports.add(target.key, failure.reporter, clock.now())) return
    this.apply(target, failure)
    await this.notifyPeers(target, failure)
  }

  protected encode (target: LimitedTarget, { reporter, failedAt }: TargetFailure, now: number): FailureNotice {
    return { target, reporter, failedAgoMs: Math.max(0, now - failedAt) }
  }

  protected decode ({ reporter, failedAgoMs }: FailureNotice, now: number): TargetFailure {
    return { reporter, failedAt: now - failedAgoMs }
  }

  protected apply (target: LimitedTarget, { failedAt }: TargetFailure): boolean {
    return this._options.applyFailures(target.key, failedAt)
  }

  protected async report (procedures: PeerClient['procedures'], notice: FailureNotice, options: TargetNewsCallOptions): Promise<void> {
    await procedures.reportFailure.mutate(notice, options)
  }

  protected async notify (procedures: PeerClient['procedures'], notice: FailureNotice, options: TargetNewsCallOptions): Promise<void> {
    await procedures.notifyFailure.mutate(notice, options)
  }
}
