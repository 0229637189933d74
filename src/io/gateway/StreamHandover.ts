import type { Attempt } from './Attempts.js'

/** Milliseconds after a search without success until the next one; a target that is full may have room again. */
const SEARCH_INTERVAL_MS = 250

/** Options of {@link StreamHandover}. */
export interface StreamHandoverOptions {
  /** Milliseconds without progress after which another target is asked to continue the stream. */
  readonly limitMs: number
  /**
   * Asks another target to continue, and resolves when it has sent an event; undefined if none does. The signal is aborted when the stream
   * goes on by itself.
   */
  readonly askOther: (signal: AbortSignal) => Promise<Attempt | undefined>
  /** Discards the response of another target that is not needed. */
  readonly dropOther: (other: Attempt, cancelled: AbortSignal) => void
  /** Ends the response of the silent target. */
  readonly endCurrent: () => void
  /** Called when asking another target has failed unexpectedly; the stream stays where it is. */
  readonly onError: (err: unknown) => void
}

/**
 * Moves a stream from a target that is silent to another one that has sent the next event.
 *
 * The silent target is kept until then: it may be sound and go on, and a stream that no other target continues would be lost. The time in
 * which the caller does not read is not counted.
 */
export class StreamHandover {
  private readonly _options: StreamHandoverOptions
  private _timer: NodeJS.Timeout | undefined
  private _check: NodeJS.Immediate | undefined
  private _search: AbortController | undefined
  private _pending: Promise<void> | undefined
  private _successor: Attempt | undefined

  constructor (options: StreamHandoverOptions) {
    this._options = options
  }

  /** Starts to wait for progress. */
  start (): void {
    this.stop()
    this._schedule(this._options.limitMs)
  }

  /** Stops waiting, and any search; returns whether another target was being asked. */
  stop (): boolean {
    this._cancelTimer()
    const isSearching = this._search !== undefined
    this._search?.abort()
    this._search = undefined
    return isSearching
  }

  /** Waits for the search in progress, if there is one; for a stream that its target has broken off. */
  async settle (): Promise<void> {
    this._cancelTimer()
    await this._pending
  }

  /** Gets the attempt that continues the stream; undefined while the current target has it. */
  getSuccessor (): Attempt | undefined {
    return this._successor
  }

  private _schedule (delayMs: number): void {
    this._timer = setTimeout(() => {
      // After a pause of the process, timers fire before input is read.
      this._check = setImmediate(() => { this._pending = this._ask() })
    }, delayMs)
  }

  private _cancelTimer (): void {
    clearTimeout(this._timer)
    clearImmediate(this._check)
  }

  private async _ask (): Promise<void> {
    const search = this._search ?? new AbortController()
    this._search = search
    const other = await this._options.askOther(search.signal).catch(this._options.onError) ?? undefined
    if (search.signal.aborted) {
      if (other !== undefined) this._options.dropOther(other, search.signal)
    } else if (other === undefined) {
      this._schedule(SEARCH_INTERVAL_MS)
    } else {
      this._search = undefined
      this._successor = other
      this._options.endCurrent()
    }
  }
}
