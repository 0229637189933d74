/** Options of {@link AttemptAbort}. */
export interface AttemptAbortOptions {
  /** Milliseconds until the deadline of the attempt. */
  readonly timeoutMs: number
  /** Aborted when the caller disconnects; undefined if the attempt goes on without its caller. */
  readonly callerDisconnected: AbortSignal | undefined
}

/**
 * Aborts an attempt at its deadline, or when its caller disconnects.
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
    this._timer = setTimeout(() => { this._abortAfterInput() }, Math.max(1, Math.ceil(options.timeoutMs)))
    if (options.callerDisconnected?.aborted === true) this._abort()
    else options.callerDisconnected?.addEventListener('abort', this._abort)
  }

  /** Gets the signal for the request to the target. */
  get signal (): AbortSignal {
    return this._controller.signal
  }

  /** Stops waiting when the attempt has ended. */
  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
    this._options.callerDisconnected?.removeEventListener('abort', this._abort)
  }

  /** Aborts unless the attempt ends by what waits to be read: after a pause of the process, timers fire before input is read. */
  private _abortAfterInput (): void {
    setImmediate(() => { if (!this._isClosed) this._abort() })
  }
}
