import { getProspect, Prospect, RetryPermits, RouteWork, ServiceAdmission, type AdmittedRequest, type TargetedRequest } from '../../core/admission/index.js'
import type { Clock } from '../../core/clock/index.js'
import type { DecisionLog } from '../process/index.js'
import type { Exchange } from './Exchange.js'
import type { GatewayMetrics } from './GatewayMetrics.js'

/** Milliseconds between two decisions about waiting requests while none ends; places at targets become free without notice. */
const STEP_INTERVAL_MS = 20

/** Longest time in milliseconds for which a request waits, whatever time it has: a burst passes within 5 to 6 s. */
const MAX_WAIT_MS = 3_000

/** Milliseconds after which the targets of a waiting request are listed again. */
const TARGETS_TTL_MS = 500

/** Options of {@link AdmissionGate}. */
export interface AdmissionGateOptions {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
}

/** A request as admission sees it, from its first wait until a target has accepted it. */
export interface AdmissionEntry extends Omit<TargetedRequest, 'getTargets'> {
  readonly exchange: Exchange
  readonly service: string
}

/** What is known of a request that asks for admission. */
export interface AdmissionRequest {
  readonly exchange: Exchange
  readonly service: string
  /** True if earlier work of the program would be lost with the request. */
  readonly isInProgress: boolean
  /** Longest time in milliseconds for which the request may wait. */
  readonly maxWaitMs: number
}

/** Result of {@link AdmissionGate.enter}. */
export type AdmissionResult =
  | { readonly type: 'admitted', readonly admission: AdmittedRequest }
  | { readonly type: 'disconnected' }
  /** The request would wait too long; `waitMs` is the time until there is probably capacity for it. */
  | { readonly type: 'refused', readonly waitMs: number }

interface Waiting extends TargetedRequest {
  readonly resolve: (result: AdmissionResult) => void
}

/** One service, and the period of missing capacity that it is in. */
interface GatedService {
  readonly admission: ServiceAdmission<Waiting>
  readonly retries: RetryPermits
  timer: NodeJS.Timeout | undefined
  since: number | undefined
  waited: number
  refused: number
  /** Requests that were refused in favour of others with less work. */
  displaced: number
}

/** Lets requests wait for capacity of their service, in order of urgency, while its targets refuse requests. */
export class AdmissionGate {
  private readonly _options: AdmissionGateOptions
  private readonly _services = new Map<string, GatedService>()
  private readonly _work = new RouteWork()

  constructor (options: AdmissionGateOptions) {
    this._options = options
  }

  /** Records a request that asks for admission for the first time, or again after a target had accepted it. */
  open ({ exchange, service, isInProgress, maxWaitMs }: AdmissionRequest): AdmissionEntry {
    const { call, route } = exchange
    const since = this._options.clock.now()
    const remainingMs = call.program?.remainingMs === undefined ? undefined : call.program.remainingMs - (since - exchange.startedAt)
    const workMs = this._work.getMs(route.name, call.maxOutputTokens)
    // A program that is already late has no deadline left to meet.
    const dueMs = remainingMs === undefined || workMs === undefined ? 0 : remainingMs - workMs
    return {
      exchange,
      service,
      priority: exchange.getPriority(),
      isInProgress,
      isWithinShare: this._get(service).admission.recordDemand(exchange.workspace?.name),
      isWorthwhile: getProspect({ remainingMs, workMs: 0, timeoutMs: route.timeoutMs }) !== Prospect.Lost,
      since,
      until: since + Math.min(MAX_WAIT_MS, maxWaitMs, exchange.getRemainingMs() - this._work.getLeastMs(route.name)),
      dueAt: dueMs > 0 ? since + dueMs : undefined,
      workMs
    }
  }

  /**
   * Waits until a request may be sent to one of its targets.
   *
   * @param listTargets - Lists the keys of the targets that the request may be sent to.
   * @param notBefore - Time before which the request is not sent, because enough targets have just refused it.
   */
  async enter (entry: AdmissionEntry, listTargets: () => readonly string[], notBefore = -Infinity): Promise<AdmissionResult> {
    const { clock, metrics } = this._options
    const service = this._get(entry.service)
    const targets = listTargets()
    const { callerDisconnected } = entry.exchange
    // Without a target, placement tells why.
    if (targets.length === 0 || (clock.now() >= notBefore && service.admission.isFree(targets))) {
      return { type: 'admitted', admission: service.admission.load.admit(clock.now()) }
    }
    let listed = targets
    let listedAt = clock.now()
    const getTargets = (): readonly string[] => {
      const now = clock.now()
      if (now < notBefore) return []
      if (now - listedAt >= TARGETS_TTL_MS) {
        listed = listTargets()
        listedAt = now
      }
      return listed
    }
    return await new Promise(resolve => {
      const waiting: Waiting = {
        ...entry,
        getTargets,
        resolve: result => {
          callerDisconnected.removeEventListener('abort', leave)
          metrics.admissions.inc({ result: result.type })
          resolve(result)
        }
      }
      const leave = (): void => {
        service.admission.remove(waiting)
        waiting.resolve({ type: 'disconnected' })
      }
      callerDisconnected.addEventListener('abort', leave, { once: true })
      service.admission.add(waiting)
      service.waited++
      this._step(entry.service, service)
    })
  }

  /** Records that a request is sent without having waited, beside another attempt of it. */
  admit (service: string): AdmittedRequest {
    return this._get(service).admission.load.admit(this._options.clock.now())
  }

  /** Gets those of the targets that have lately refused a request as full, unless all have. */
  getFull (service: string, targets: readonly string[]): string[] {
    const { load } = this._get(service).admission
    const now = this._options.clock.now()
    const full = targets.filter(target => load.isFull(target, now))
    return full.length < targets.length ? full : []
  }

  /** Checks whether there is evidence that a service has too little capacity. */
  isShort (service: string): boolean {
    return this._get(service).admission.load.isShort(this._options.clock.now())
  }

  /** Records that a target has accepted a request. */
  recordAccepted (service: string, admission: AdmittedRequest, target: string): void {
    const now = this._options.clock.now()
    const { admission: { load }, retries } = this._get(service)
    load.recordAccepted(admission, target, now)
    retries.recordAccepted(now)
  }

  /** Records that a target has refused a request because it is full; `isFurther` if a target had refused the request before. */
  recordRefused (service: string, admission: AdmittedRequest, target: string, isFurther: boolean): void {
    this._get(service).admission.load.recordRefused(admission, target, this._options.clock.now(), isFurther)
  }

  /** Records that a request was not sent, or that its outcome tells nothing of the capacity. */
  recordUnknown (service: string, admission: AdmittedRequest): void {
    this._get(service).admission.load.recordUnknown(admission)
  }

  /** Records what a complete response took, in milliseconds from the sending of its request. */
  recordWork ({ call, route }: Exchange, tookMs: number): void {
    this._work.record(route.name, call.maxOutputTokens, tookMs)
  }

  /** Records that a request has ended at a target. */
  recordCompleted (service: string, target: string): void {
    const gated = this._get(service)
    gated.admission.load.recordCompleted(target, this._options.clock.now())
    if (gated.admission.getWaiting() > 0) this._step(service, gated)
  }

  /** Uses up a retry for a further attempt; returns the milliseconds for which it has to wait, or undefined if they exceed `maxWaitMs`. */
  requestRetry (service: string, maxWaitMs: number): number | undefined {
    const waitMs = this._get(service).retries.request(this._options.clock.now(), maxWaitMs)
    this._options.metrics.retryPermits.inc({ result: waitMs === undefined ? 'refused' : waitMs > 0 ? 'waited' : 'granted' })
    return waitMs
  }

  /** Uses up a retry for the return of a caller that is refused; returns the milliseconds after which it should return. */
  scheduleReturn (service: string, waitMs: number, isInProgress: boolean): number {
    return this._get(service).retries.scheduleReturn(this._options.clock.now(), waitMs, isInProgress)
  }

  private _get (name: string): GatedService {
    let service = this._services.get(name)
    if (service === undefined) {
      const admission = new ServiceAdmission<Waiting>(this._options.clock)
      service = { admission, retries: new RetryPermits(), timer: undefined, since: undefined, waited: 0, refused: 0, displaced: 0 }
      this._services.set(name, service)
    }
    return service
  }

  private _step (name: string, service: GatedService): void {
    const { clock, log, metrics } = this._options
    const { admission } = service
    if (service.since === undefined) {
      service.since = clock.now()
      log.info('capacity-short', { service: name })
    }
    const { admitted, refused } = admission.step()
    service.refused += refused.length
    service.displaced += refused.filter(({ isDisplaced }) => isDisplaced).length
    for (const { req, admission } of admitted) req.resolve({ type: 'admitted', admission })
    for (const { req, waitMs } of refused) req.resolve({ type: 'refused', waitMs })
    metrics.waiting.set({ service: name }, admission.getWaiting())
    if (admission.getWaiting() > 0 || this.isShort(name)) {
      service.timer ??= setInterval(() => { this._step(name, service) }, STEP_INTERVAL_MS).unref()
      return
    }
    clearInterval(service.timer)
    const { waited, refused: refusals, displaced } = service
    log.info('capacity-restored', { service: name, waited, refused: refusals, displaced, tookMs: Math.round(clock.now() - service.since) })
    Object.assign(service, { timer: undefined, since: undefined, waited: 0, refused: 0, displaced: 0 })
  }
}
