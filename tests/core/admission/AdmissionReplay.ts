import { ServiceAdmission, type AdmittedRequest, type TargetedRequest } from '../../../src/core/admission/index.js'
import { ManualClock } from '../../../src/core/clock/index.js'

/** Milliseconds of one step of a replay. */
const STEP_MS = 5

/** A request of a replayed load. */
export interface ReplayedRequest {
  readonly at: number
  readonly priority?: number
  readonly isInProgress?: boolean
  readonly workspace?: string
  readonly maxWaitMs?: number
  /** Milliseconds for which it takes a place; those of the replay unless set. */
  readonly workMs?: number
  /** True if the gateway knows `workMs`. */
  readonly isWorkKnown?: boolean
}

/** How a replayed request ended: accepted by a target, refused by the gateway unsent, or refused after targets had refused it. */
export interface ReplayedResult extends ReplayedRequest {
  readonly type: 'served' | 'refused'
  readonly waitedMs: number
  readonly sends: number
  readonly retryMs?: number
}

/** Options of {@link replay}. */
export interface ReplayOptions {
  /** Keys of the targets that accept requests at a time; all of them are listed. */
  readonly targets: readonly string[]
  readonly isUp?: (target: string, at: number) => boolean
  /** Requests that a target runs and queues at once. */
  readonly places: number
  /** Milliseconds for which a request takes a place. */
  readonly serviceMs: number
  /** Gateways that get the requests by turns; 1 unless set. */
  readonly gateways?: number
}

interface Running extends TargetedRequest {
  readonly source: ReplayedRequest
  readonly service: ServiceAdmission<Running>
  sends: number
}

/** Replays a load at gateways against targets that refuse requests beyond their places, on a virtual clock. */
export function replay (load: readonly ReplayedRequest[], options: ReplayOptions): ReplayedResult[] {
  const { targets, isUp = () => true, places, serviceMs, gateways = 1 } = options
  const clock = new ManualClock()
  const services = Array.from({ length: gateways }, () => new ServiceAdmission<Running>(clock))
  const results: ReplayedResult[] = []
  const busy = new Map(targets.map(target => [target, [] as Array<{ end: number, service: ServiceAdmission<Running> }>]))
  let turn = 0
  let arrived = 0

  const send = (req: Running, admission: AdmittedRequest): void => {
    const now = clock.now()
    const { service } = req
    const open = targets.filter(target => !service.load.isFull(target, now))
    const target = admission.target ?? (open.length > 0 ? open : targets)[turn++ % Math.max(1, open.length)]!
    req.sends++
    if (isUp(target, now) && busy.get(target)!.length < places) {
      busy.get(target)!.push({ end: now + (req.source.workMs ?? serviceMs), service })
      results.push({ ...req.source, type: 'served', waitedMs: now - req.since, sends: req.sends })
      return
    }
    service.load.recordRefused(admission, target, now, req.sends > 1)
    enter(req)
  }
  const enter = (req: Running): void => {
    if (req.service.isFree(targets)) send(req, req.service.load.admit(clock.now()))
    else req.service.add(req)
  }

  const arrivals = [...load].sort((a, b) => a.at - b.at)
  const end = arrivals.at(-1)!.at + 10_000
  for (let now = 0; now <= end; now += STEP_MS) {
    clock.advanceTo(now)
    for (const [target, ends] of busy) {
      for (const { end, service } of ends) if (end <= now) service.load.recordCompleted(target, now)
      busy.set(target, ends.filter(({ end }) => end > now))
    }
    while (arrivals.length > 0 && arrivals[0]!.at <= now) {
      const source = arrivals.shift()!
      const { priority = 0, isInProgress = false, workspace, maxWaitMs = 1_000, workMs = serviceMs, isWorkKnown = true } = source
      const service = services[arrived++ % gateways]!
      const isWithinShare = service.recordDemand(workspace)
      const wait = { since: now, until: now + maxWaitMs, getTargets: () => targets }
      const work = isWorkKnown ? { workMs } : {}
      enter({ source, service, priority, isInProgress, isWithinShare, isWorthwhile: true, ...wait, ...work, sends: 0 })
    }
    for (const service of services) {
      const { admitted, refused } = service.step()
      for (const { req, admission } of admitted) send(req, admission)
      for (const { req: { source, since, sends }, waitMs } of refused) {
        results.push({ ...source, type: 'refused', waitedMs: now - since, sends, retryMs: waitMs })
      }
    }
  }
  return results
}

/** Creates requests at even intervals. */
export function toLoad (from: number, to: number, perSecond: number, req: Omit<ReplayedRequest, 'at'> = {}): ReplayedRequest[] {
  const length = Math.floor((to - from) / 1_000 * perSecond)
  return Array.from({ length }, (_, at) => ({ at: from + (at + 0.5) * 1_000 / perSecond, ...req }))
}

/** Gets the share of the requests that were served. */
export function getServedShare (results: readonly ReplayedResult[], isCounted: (result: ReplayedResult) => boolean = () => true): number {
  const counted = results.filter(isCounted)
  return counted.filter(({ type }) => type === 'served').length / counted.length
}
