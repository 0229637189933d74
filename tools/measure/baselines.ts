import { Left, Right, type Either } from 'purify-ts'
import { TargetSelector, type SelectedTarget, type SelectionRequest } from '../../src/core/call/index.js'
import type { Refusal } from '../../src/core/reason/index.js'
import type { TargetDirectory, TargetView } from '../../src/core/routing/index.js'
import { AdmissionQueue, type QueuedCall } from '../../src/core/sidecar/index.js'

/** Selects the usable targets in rotation. */
export class RoundRobinSelector extends TargetSelector {
  private _next = 0

  constructor (private readonly _directory: TargetDirectory) {
    super()
  }

  select (req: SelectionRequest, now: number): Either<Refusal, SelectedTarget> {
    const usable = this._directory.getUsable(req.service, now)
    return toSelected(usable[this._next++ % Math.max(1, usable.length)])
  }
}

/** Selects the usable target with the fewest requests of this entry in progress. */
export class LeastOutstandingSelector extends TargetSelector {
  constructor (private readonly _directory: TargetDirectory) {
    super()
  }

  select (req: SelectionRequest, now: number): Either<Refusal, SelectedTarget> {
    const usable = this._directory.getUsable(req.service, now)
    return toSelected([...usable].sort((a, b) => a.inFlight - b.inFlight)[0])
  }
}

/** Queue that starts requests in the order of their arrival. */
export class FifoQueue extends AdmissionQueue {
  private readonly _queued: QueuedCall[] = []
  private readonly _running = new Set<string>()

  constructor (private readonly _slots: number) {
    super()
  }

  add (call: QueuedCall): boolean {
    this._queued.push(call)
    return true
  }

  remove (attempt: string): boolean {
    const index = this._queued.findIndex(call => call.attempt === attempt)
    if (index >= 0) this._queued.splice(index, 1)
    return index >= 0
  }

  admitNext (): QueuedCall | undefined {
    if (this._running.size >= this._slots) return undefined
    const next = this._queued.shift()
    if (next !== undefined) this._running.add(next.attempt)
    return next
  }

  release (attempt: string): void {
    this._running.delete(attempt)
  }

  getQueuedCount (): number {
    return this._queued.length
  }

  getRunningCount (): number {
    return this._running.size
  }

  getQueuedTokens (): number {
    return this._queued.reduce((sum, call) => sum + call.maxTokens, 0)
  }
}

function toSelected (view: TargetView | undefined): Either<Refusal, SelectedTarget> {
  if (view === undefined) return Left({ reason: 'no-target' })
  return Right({ id: view.instance.id, incarnation: view.load!.incarnation, cause: '' })
}
