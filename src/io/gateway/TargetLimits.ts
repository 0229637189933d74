import type { Clock } from '../../core/clock/index.js'
import type { ResponseHead } from '../../core/forward/index.js'
import type { LimitedTarget } from '../../core/limits/index.js'
import type { LimitStatement, RequestLimit, TargetRegistry, TargetState } from '../../core/target/index.js'
import type { DecisionLog } from '../process/index.js'

/** Options of {@link TargetLimits}. */
export interface TargetLimitsOptions {
  readonly registry: TargetRegistry
  readonly clock: Clock
  readonly log: DecisionLog
  /** Passes a change on to the other gateways. */
  readonly publish: (target: LimitedTarget, statement: LimitStatement) => void
}

/** Records the request rates that targets state in their responses, directly or through other gateways. */
export class TargetLimits {
  private readonly _options: TargetLimitsOptions

  constructor (options: TargetLimitsOptions) {
    this._options = options
  }

  /** Gets the limit of a target's incarnation; undefined if the target is not listed. */
  get (target: string): RequestLimit | undefined {
    return this._options.registry.find(target)?.limit
  }

  /** Records what a response states; one that denies its request may lack the rate, and does not end a limit. */
  recordResponse (state: TargetState, head: ResponseHead, sentAt: number, req: string): void {
    const { requestsPerSecond: perSecond, isMisdirected, isNotRun } = head
    if (isMisdirected || (perSecond === undefined && isNotRun)) return
    const statement = { perSecond, sentAt, statedAt: this._options.clock.now() }
    if (this._record(state, statement, { req })) this._options.publish(toLimitedTarget(state), statement)
  }

  /** Records a statement that another gateway has passed on; returns whether the limit has changed. */
  apply (target: string, statement: LimitStatement): boolean {
    const state = this._options.registry.find(target)
    return state !== undefined && this._record(state, statement, { ageMs: Math.round(this._options.clock.now() - statement.statedAt) })
  }

  private _record (state: TargetState, statement: LimitStatement, source: { req: string } | { ageMs: number }): boolean {
    if (!state.limit.record(statement)) return false
    this._options.log.info('target-limit-changed', { target: state.incarnation, perSecond: statement.perSecond ?? null, ...source })
    return true
  }
}

/** Gets the key and the location of a target, by which its lenders are chosen. */
export function toLimitedTarget (state: TargetState): LimitedTarget {
  return { key: state.incarnation, failureDomain: state.target.failureDomain }
}
