/** Longest delay of a timer in milliseconds; Node.js fires timers with a longer one at once. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Options of {@link AttemptAbort}. */
export interface AttemptAbortOptions {
  /** Milliseconds until the deadline of the attempt. */
  readonly timeoutMs: number
  /** Aborted when the caller disconnects; undefined if the attempt goes on without its caller. */
  readonly callerDisconnected: AbortSignal | undefined
  /** Aborted when the response is no longer needed. */
  readonly cancelled?: AbortSignal | undefined
}

/**
 * Aborts an attempt at its deadline, when its caller disconnects or when it is cancelled.
 *
 * A timer of its own, because `AbortSignal.any` refers to its sources weakly: a garbage collection removes an `AbortSignal.timeout` among
 * them together with its timer (Node.js 20), and a response that stalls after its head then never ends.
 */
export class AttemptAbort {
  private readonly _controller = new AbortController()
  private readonly _options: AttemptAbortOptions
  private readonly _timer: NodeJS.Timeout
  private _isClosed = false
  private readonly _abort = (): void => { this._controller.abort() }

  constructor (options: AttemptAbortOptions) {
    this._options = options
    const delayMs = Math.min(MAX_TIMER_MS, Math.max(1, Math.ceil(options.timeoutMs)))
    this._timer = setTimeout(() => { this._abortAfterInput() }, delayMs)
    for (const signal of this._getSources()) {
      if (signal.aborted) this._abort()
      else signal.addEventListener('abort', this._abort)
    }
  }

  /** Gets the signal for the request to the target. */
  get signal (): AbortSignal {
    return this._controller.signal
  }

  /** Stops waiting when the attempt has ended. */
  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
    for (const signal of this._getSources()) signal.removeEventListener('abort', this._abort)
  }

  private _getSources (): AbortSignal[] {
    const { callerDisconnected, cancelled } = this._options
    return [callerDisconnected, cancelled].filter(signal => signal !== undefined)
  }

  /** Aborts unless the attempt ends by what waits to be read: after a pause of the process, timers fire before input is read. */
  private _abortAfterInput (): void {
    setImmediate(() => { if (!this._isClosed) this._abort() })
  }
}
