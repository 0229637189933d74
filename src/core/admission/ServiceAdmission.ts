import type { Clock } from '../clock/index.js'
import { AdmissionQueue, type RefusedWait, type WaitingRequest } from './AdmissionQueue.js'
import { ServiceLoad, type AdmittedRequest } from './ServiceLoad.js'
import { WorkspaceDemand } from './WorkspaceDemand.js'

/** A request that waits, with the targets that may run it. */
export interface TargetedRequest extends WaitingRequest {
  /** Gets the keys of the targets that the request may be sent to now. */
  readonly getTargets: () => readonly string[]
}

/** What becomes of waiting requests now. */
export interface AdmissionStep<T> {
  readonly admitted: Array<{ readonly req: T, readonly admission: AdmittedRequest }>
  readonly refused: Array<RefusedWait<T>>
}

/**
 * Admits the requests of one service at one gateway.
 *
 * Without evidence of missing capacity each request is admitted at once. Otherwise requests wait in order of urgency while all their
 * targets are full or refusals exceed what is risked; those that would wait too long are refused.
 */
export class ServiceAdmission<T extends TargetedRequest> {
  readonly load = new ServiceLoad()
  private readonly _clock: Clock
  private readonly _queue = new AdmissionQueue<T>()
  private readonly _demand = new WorkspaceDemand()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Records a caller's request once; returns whether it is within the share of its workspace. */
  recordDemand (workspace: string | undefined): boolean {
    const now = this._clock.now()
    return workspace === undefined || this._demand.record(workspace, now, this.load.isShort(now))
  }

  /** Gets the number of waiting requests. */
  getWaiting (): number {
    return this._queue.getSize()
  }

  /** Checks whether a request that is not waiting may be sent now: there is no evidence against it, and none goes before it. */
  isFree (targets: readonly string[]): boolean {
    return this._queue.getSize() === 0 && this.load.isOpen(this._clock.now()) && this._hasPlace(targets)
  }

  /** Adds a request to those that wait; {@link step} decides about it. */
  add (req: T): void {
    this._queue.add(req)
  }

  /** Removes a request whose caller has disconnected. */
  remove (req: T): void {
    this._queue.remove(req)
  }

  /** Admits and refuses waiting requests; called when one was added or has ended, and at short intervals while any waits. */
  step (): AdmissionStep<T> {
    const now = this._clock.now()
    const admitted: AdmissionStep<T>['admitted'] = []
    while (this._queue.getSize() > 0 && this.load.canRelease(now)) {
      const req = this._queue.take(now, ({ getTargets, until }) => now < until && this._hasPlace(getTargets()))
      if (req === undefined) break
      admitted.push({ req, admission: this.load.release(now) })
    }
    return { admitted, refused: this._queue.takeRefused(now, this.load.getPerSecond(now)) }
  }

  private _hasPlace (targets: readonly string[]): boolean {
    const now = this._clock.now()
    return targets.some(target => !this.load.isFull(target, now))
  }
}
