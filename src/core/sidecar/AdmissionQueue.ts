/** Requests that generate at most this many tokens count as short. */
export const SHORT_CALL_TOKENS = 64

/** Attained tokens by which each millisecond of waiting lowers the score of a request, so that a long session can't starve. */
export const AGING_TOKENS_PER_MS = 0.5

/** Attained tokens that each running request of the same workspace adds to the score of a request, to share the slots fairly. */
export const FAIRNESS_TOKENS = 256

/** A request that is waiting for a slot or occupies one. */
export interface QueuedCall {
  readonly attempt: string
  readonly workspace: string
  /** Tokens that the session of the request has generated so far. */
  readonly attainedTokens: number
  /** Tokens that the request may generate. */
  readonly maxTokens: number
  readonly queuedAt: number
}

/** Options of {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  /** Maximum number of concurrent requests at the target. */
  readonly slots: number
  /** Number of slots reserved for short requests. */
  readonly shortSlots: number
  /** Maximum number of waiting requests. */
  readonly maxQueued: number
}

/** Queues the requests at one target and limits how many run at once. */
export abstract class AdmissionQueue {
  /** Adds a request to the queue; returns false if the queue is full. */
  abstract add (call: QueuedCall): boolean
  /** Removes a waiting request; returns whether it was in the queue. */
  abstract remove (attempt: string): boolean
  /** Moves the next request from the queue to a free slot and returns it; returns undefined if no request can start. */
  abstract admitNext (now: number): QueuedCall | undefined
  /** Frees the slot of a finished request. */
  abstract release (attempt: string): void
  /** Gets the number of waiting requests. */
  abstract getQueuedCount (): number
  /** Gets the number of running requests. */
  abstract getRunningCount (): number
  /** Gets the total number of tokens that the waiting requests may generate. */
  abstract getQueuedTokens (): number
}

/**
 * Schedules by least attained service: the session that has generated the fewest tokens goes first.
 *
 * @remarks Implements program-level least attained service as published with Autellix, extended by aging, a penalty for
 * workspaces with running requests, and slots reserved for short requests. The request with the lowest score is admitted.
 */
export class LeastAttainedQueue extends AdmissionQueue {
  private readonly _options: AdmissionQueueOptions
  private readonly _queued = new Map<string, QueuedCall>()
  private readonly _running = new Map<string, QueuedCall>()

  constructor (options: AdmissionQueueOptions) {
    super()
    this._options = options
  }

  add (call: QueuedCall): boolean {
    if (this._queued.size >= this._options.maxQueued) return false
    this._queued.set(call.attempt, call)
    return true
  }

  remove (attempt: string): boolean {
    return this._queued.delete(attempt)
  }

  admitNext (now: number): QueuedCall | undefined {
    const freeSlots = this._options.slots - this._running.size
    if (freeSlots <= 0) return undefined
    const isShortOnly = freeSlots <= this._options.shortSlots - this._countRunningShort()
    const best = this._findBest(now, isShortOnly)
    if (best === undefined) return undefined
    this._queued.delete(best.attempt)
    this._running.set(best.attempt, best)
    return best
  }

  release (attempt: string): void {
    this._running.delete(attempt)
  }

  getQueuedCount (): number {
    return this._queued.size
  }

  getRunningCount (): number {
    return this._running.size
  }

  getQueuedTokens (): number {
    let sum = 0
    for (const call of this._queued.values()) sum += call.maxTokens
    return sum
  }

  private _findBest (now: number, isShortOnly: boolean): QueuedCall | undefined {
    const running = this._countRunningByWorkspace()
    let best: QueuedCall | undefined
    let bestScore = Infinity
    for (const call of this._queued.values()) {
      if (isShortOnly && !isShort(call)) continue
      const score = call.attainedTokens + FAIRNESS_TOKENS * (running.get(call.workspace) ?? 0) - AGING_TOKENS_PER_MS * (now - call.queuedAt)
      if (score >= bestScore) continue
      best = call
      bestScore = score
    }
    return best
  }

  private _countRunningByWorkspace (): Map<string, number> {
    const counts = new Map<string, number>()
    for (const call of this._running.values()) counts.set(call.workspace, (counts.get(call.workspace) ?? 0) + 1)
    return counts
  }

  private _countRunningShort (): number {
    let count = 0
    for (const call of this._running.values()) if (isShort(call)) count++
    return count
  }
}

function isShort (call: QueuedCall): boolean {
  return call.maxTokens <= SHORT_CALL_TOKENS
}
