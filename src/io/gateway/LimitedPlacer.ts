import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import type { CallRequest } from '../../core/forward/index.js'
import { getAdmissionWaitMs } from '../../core/limits/index.js'
import type { BegunStream } from '../../core/origin/index.js'
import type { Route } from '../../core/route/index.js'
import type { Placement, TargetState } from '../../core/target/index.js'
import type { PermitAnswer, PermitPeers } from '../peer/index.js'
import type { DecisionLog } from '../process/index.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import type { Placer } from './Placer.js'
import { toLimitedTarget, type TargetLimits } from './TargetLimits.js'

/** Targets whose lenders are asked for one request; each costs a round trip while the request waits. */
const MAX_ASKED_TARGETS = 3

/** Milliseconds after its time for which a permit may be used; a process that was paused for longer asks again. */
const PERMIT_TTL_MS = 300

/** Milliseconds for which a target is not asked for after none of its lenders was reached. */
const NO_LENDER_WAIT_MS = 500

/** Options of {@link LimitedPlacer}. */
export interface LimitedPlacerOptions {
  readonly placer: Placer
  readonly permits: Pick<PermitPeers, 'request'>
  readonly limits: Pick<TargetLimits, 'apply'>
  readonly clock: Clock
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
}

/** Request for a target and, if the target limits its rate, a permit. */
export interface LimitedPlaceRequest {
  readonly call: CallRequest
  readonly route: Route
  /** Keys of the target incarnations to which the request was already sent. */
  readonly excluded: ReadonlySet<string>
  readonly warmTarget: string | undefined
  /** The stream to be continued; undefined for a new one. */
  readonly stream?: BegunStream | undefined
  /** Longest time in milliseconds for which the request may wait for a permit. */
  readonly maxWaitMs: number
  /** True if the request belongs to a program that targets have already worked for. */
  readonly isInProgress: boolean
}

/** Result of {@link LimitedPlacer.place}. */
export type LimitedPlacement =
  | { readonly type: 'placed', readonly placement: Placement }
  | { readonly type: 'no-target' }
  /** The targets without a limit are so late that the program should not begin; `waitMs` is the time until it may. */
  | { readonly type: 'overloaded', readonly waitMs: number }
  /** All targets limit their rate, and none has a permit within the wait; `waitMs` is the shortest wait known. */
  | { readonly type: 'limited', readonly waitMs: number }

/** Chooses the target of a request, and waits for a permit where the target limits its request rate. */
export class LimitedPlacer {
  private readonly _options: LimitedPlacerOptions

  constructor (options: LimitedPlacerOptions) {
    this._options = options
  }

  /** Gets the wait for a permit if all targets limit their rate and none is known to have one within `maxWaitMs`; undefined otherwise. */
  getKnownWait (call: CallRequest, route: Route, maxWaitMs: number, stream?: BegunStream): number | undefined {
    const now = this._options.clock.now()
    const waits = this._options.placer.getCandidates(call, route, stream).map(state => isLimited(state) ? state.getPermitWaitMs(now) : 0)
    const shortest = Math.min(...waits)
    return waits.length > 0 && shortest > maxWaitMs ? shortest : undefined
  }

  /** Chooses a target; a permit that was granted is used by the caller's next request to it. */
  async place (req: LimitedPlaceRequest): Promise<LimitedPlacement> {
    const { placer, clock, permits } = this._options
    const { call, route, warmTarget, stream } = req
    const candidates = placer.getCandidates(call, route, stream, req.excluded)
    const limited = candidates.filter(isLimited)
    const place = (excluded: ReadonlySet<string>): Placement | undefined => {
      const placement = placer.place(call, route, { excluded, warmTarget, stream })
      // A target that is draining doesn't replace one that has to be waited for.
      return placement !== undefined && candidates.includes(placement.state) ? placement : undefined
    }
    if (limited.length === 0) {
      const placement = place(req.excluded)
      return placement === undefined ? { type: 'no-target' } : { type: 'placed', placement }
    }
    const alternative = place(new Set([...req.excluded, ...limited.map(state => state.incarnation)]))
    const now = clock.now()
    const tooLate = limited.filter(state => state.getPermitWaitMs(now) > req.maxWaitMs)
    const refused = new Set([...req.excluded, ...tooLate.map(state => state.incarnation)])
    for (let asked = 0; asked < MAX_ASKED_TARGETS; asked++) {
      const placement = place(refused)
      if (placement === undefined) break
      const { state } = placement
      if (!isLimited(state)) return this._admit(req, placement)
      const maxWaitMs = Math.min(req.maxWaitMs, getTolerance(placement, alternative, clock.now()))
      const askedAt = clock.now()
      const answer = await permits.request(toLimitedTarget(state), state.limit, maxWaitMs)
      const isGranted = await this._isUsable(state, answer, askedAt, call.id)
      // The target may have begun to drain while the request waited.
      const isUsable = isGranted && placer.getCandidates(call, route, stream, req.excluded).includes(state)
      if (isUsable) return { type: 'placed', placement }
      refused.add(state.incarnation)
    }
    if (alternative !== undefined) return this._admit(req, alternative)
    return { type: 'limited', waitMs: Math.min(...limited.map(state => state.getPermitWaitMs(clock.now()))) }
  }

  /** Admits a request to a target without a limit while others have one, unless it begins a program for which the capacity is missing. */
  private _admit ({ isInProgress, route }: LimitedPlaceRequest, placement: Placement): LimitedPlacement {
    const { predictedMs, state } = placement
    const slowdown = state.pace.getSlowdown(this._options.clock.now())
    const waitMs = getAdmissionWaitMs({ isInProgress, isScarce: true, objectiveMs: route.objectiveMs, predictedMs, slowdown })
    return waitMs === undefined ? { type: 'placed', placement } : { type: 'overloaded', waitMs }
  }

  /** Applies a lender's answer and waits for the time of a permit; returns whether the request may be sent to the target now. */
  private async _isUsable (state: TargetState, answer: PermitAnswer, askedAt: number, req: string): Promise<boolean> {
    const { clock, log, metrics, limits } = this._options
    metrics.permits.inc({ result: answer.type })
    const now = clock.now()
    if (answer.type === 'unlimited') {
      const endedAt = now - answer.endedAgoMs
      limits.apply(state.incarnation, { perSecond: undefined, sentAt: endedAt, statedAt: endedAt })
      return true
    }
    if (answer.type !== 'granted') {
      const waitMs = answer.type === 'unavailable' ? NO_LENDER_WAIT_MS : answer.waitMs
      state.recordPermitWait(waitMs, now)
      log.info('permit-refused', { req, target: state.incarnation, result: answer.type, waitMs: Math.round(waitMs) })
      return false
    }
    if (answer.waitMs > 0) {
      log.info('permit-awaited', { req, target: state.incarnation, waitMs: Math.round(answer.waitMs) })
      await sleep(answer.waitMs)
    }
    const lateMs = clock.now() - askedAt - answer.waitMs
    if (lateMs <= PERMIT_TTL_MS) return true
    log.warn('permit-expired', { req, target: state.incarnation, lateMs: Math.round(lateMs) })
    return false
  }
}

function isLimited (state: TargetState): boolean {
  return state.limit.getPerSecond() !== undefined
}

/** Gets the longest wait for a permit that still makes the target cheaper than the best one without a limit, in milliseconds. */
function getTolerance (placement: Placement, alternative: Placement | undefined, now: number): number {
  if (alternative === undefined) return Infinity
  return Math.max(0, alternative.predictedMs - placement.predictedMs + placement.state.getPermitWaitMs(now))
}
