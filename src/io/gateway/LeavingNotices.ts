import type { Clock } from '../../core/clock/index.js'
import type { ResponseHead } from '../../core/forward/index.js'
import type { LimitedTarget } from '../../core/limits/index.js'
import type { TargetRegistry, TargetState } from '../../core/target/index.js'
import type { DecisionLog } from '../process/index.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import { toLimitedTarget } from './TargetLimits.js'

/** Options of {@link LeavingNotices}. */
export interface LeavingNoticesOptions {
  readonly registry: TargetRegistry
  readonly clock: Clock
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
  /** Passes a notice on to the other gateways. */
  readonly publish: (target: LimitedTarget, statedAt: number) => void
}

/** Records that targets state in their responses that they are leaving, directly or through other gateways. */
export class LeavingNotices {
  private readonly _options: LeavingNoticesOptions

  constructor (options: LeavingNoticesOptions) {
    this._options = options
  }

  /** Records what the head of a response states, whether the response is relayed or not. */
  recordResponse (state: TargetState, head: ResponseHead, req: string): void {
    if (!head.isLeaving || head.isMisdirected) return
    const statedAt = this._options.clock.now()
    if (this._record(state.incarnation, statedAt, { source: 'response', req })) this._options.publish(toLimitedTarget(state), statedAt)
  }

  /** Records a notice that another gateway has passed on; returns whether it is news. */
  apply (target: string, statedAt: number): boolean {
    return this._record(target, statedAt, { source: 'peer', ageMs: Math.round(this._options.clock.now() - statedAt) })
  }

  private _record (target: string, statedAt: number, source: { source: 'response', req: string } | { source: 'peer', ageMs: number }): boolean {
    const { registry, log, metrics } = this._options
    if (!registry.recordLeaving(target, statedAt)) return false
    metrics.leavingNotices.inc({ source: source.source })
    log.info('target-leaving', { target, ...source })
    return true
  }
}
