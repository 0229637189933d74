/**
 * Milliseconds after the signal to stop for which every request is accepted.
 *
 * Shorter than the time in which balancers send new connections, by what a signal or a request may be late.
 */
export const ACCEPT_ALL_MS = 2_500

/** Milliseconds after the signal for which new connections are accepted: the time for two readiness checks and their network delay. */
const NOTICE_MS = 3_000

/** Milliseconds before the end of the grace period by which accepted requests have to end, so that their responses can be sent. */
const STOP_MARGIN_MS = 1_000

/** Milliseconds before the end of the grace period, when the process is killed, at which it exits in any case. */
const EXIT_MARGIN_MS = 300

/** Options of {@link StopSchedule}. */
export interface StopScheduleOptions {
  readonly startedAt: number
  /** Milliseconds until the process is killed. */
  readonly graceMs: number
}

/** Decides which requests a stopping gateway still accepts, and when it exits. */
export class StopSchedule {
  private readonly _options: StopScheduleOptions
  private _isClosed = false

  constructor (options: StopScheduleOptions) {
    this._options = options
  }

  /** Gets the time until which new connections are accepted. */
  getNoticeEnd (): number {
    return Math.min(this._options.startedAt + NOTICE_MS, this.getServingEnd())
  }

  /** Gets the time from which nothing is accepted, even if requests are in progress. */
  getServingEnd (): number {
    return this._options.startedAt + this._options.graceMs - STOP_MARGIN_MS
  }

  /** Gets the time at which the process exits at the latest. */
  getExitTime (): number {
    return this._options.startedAt + this._options.graceMs - EXIT_MARGIN_MS
  }

  /** Accepts nothing from now on. */
  close (): void {
    this._isClosed = true
  }

  /** Checks whether a request is accepted: it has to end, by its deadline at the latest, before the process exits. */
  accepts (now: number, deadline: number): boolean {
    if (this._isClosed) return false
    if (now >= this.getServingEnd()) return false
    return now - this._options.startedAt < ACCEPT_ALL_MS || deadline <= this.getServingEnd()
  }
}
