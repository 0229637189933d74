import type { Clock } from '../../core/clock/index.js'
import type { LimitedTarget } from '../../core/limits/index.js'
import type { TargetRegistry, TargetState } from '../../core/target/index.js'
import type { TargetFailure } from '../peer/index.js'
import type { DecisionLog } from '../process/index.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import { toLimitedTarget } from './TargetLimits.js'

/** Milliseconds between two reports of one target; the lender counts gateways, not failures. */
const REPORT_INTERVAL_MS = 500

/** Options of {@link TargetFailures}. */
export interface TargetFailuresOptions {
  readonly registry: TargetRegistry
  readonly clock: Clock
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
  readonly localId: string
  /** Reports a failure to the gateway that collects those of the target. */
  readonly publish: (target: LimitedTarget, failure: TargetFailure) => void
}

/** Records the failures of targets, and passes them on to the other gateways. */
export class TargetFailures {
  private readonly _options: TargetFailuresOptions
  private readonly _reportedAt = new WeakMap<TargetState, number>()

  constructor (options: TargetFailuresOptions) {
    this._options = options
  }

  /** Records a request that got no response, or whose response broke off; an unreachable target is ejected at once. */
  recordFailure (state: TargetState, isUnreachable: boolean): void {
    const { clock, log, metrics } = this._options
    const ejectedMs = state.recordFailure(clock.now(), isUnreachable)
    this._report(state)
    if (ejectedMs === 0) return
    metrics.ejections.inc()
    log.warn('target-ejected', { target: state.incarnation, address: state.target.address, forMs: ejectedMs, isUnreachable })
  }

  /** Records that a target left a request without a byte until its caller needed the response elsewhere, or no longer. */
  recordSilence (state: TargetState): void {
    state.health.recordFailure(this._options.clock.now())
    this._report(state)
  }

  /** Records that several gateways saw failures of a target; returns whether that is news. */
  apply (target: string, failedAt: number): boolean {
    const { registry, clock, log, metrics } = this._options
    const state = registry.find(target)
    if (state === undefined || !state.health.recordReport(failedAt, clock.now())) return false
    metrics.failureNotices.inc()
    log.info('target-doubtful', { target, ageMs: Math.round(clock.now() - failedAt), score: Number(state.health.getScore(clock.now()).toFixed(2)) })
    return true
  }

  private _report (state: TargetState): void {
    const { clock, localId, publish } = this._options
    const now = clock.now()
    if (now - (this._reportedAt.get(state) ?? -Infinity) < REPORT_INTERVAL_MS) return
    this._reportedAt.set(state, now)
    publish(toLimitedTarget(state), { reporter: localId, failedAt: now })
  }
}
