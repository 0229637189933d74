/** Requests that generate at most this many tokens count as short. */
export const SHORT_CALL_TOKENS = 64

/** Attained tokens that one millisecond of waiting makes up for. */
export const AGING_TOKENS_PER_MS = 0.5

/** Attained tokens that one running request of the same workspace counts for. */
export const FAIRNESS_TOKENS = 256

/** A request that waits for a slot. */
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
  /** Requests that run at the target at once. */
  readonly slots: number
  /** Slots that only short requests may take. */
  readonly shortSlots: number
  /** Requests that may wait. */
  readonly maxQueued: number
}

/** Orders the requests at one target. */
export abstract class AdmissionQueue {
  /** Adds a request; returns false when the queue is full. */
  abstract add (call: QueuedCall): boolean
  /** Removes a waiting request. */
  abstract remove (attempt: string): boolean
  /** Takes the request that runs next, if a slot is free for it. */
  abstract admitNext (now: number): QueuedCall | undefined
  /** Frees the slot of a request that has ended. */
  abstract release (attempt: string): void
  /** Gets the number of waiting requests. */
  abstract getQueuedCount (): number
  /** Gets the number of running requests. */
  abstract getRunningCount (): number
  /** Gets the tokens that the waiting requests may generate. */
  abstract getQueuedTokens (): number
}

/**
 * Lets the session go first that has attained the least service, with aging, and keeps slots free for short requests.
 *
 * @remarks Program-level least attained service as published with Autellix.
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
