/** Milliseconds within which failures seen by several gateways count together. */
const REPORT_WINDOW_MS = 1_500

/** Gateways that must have seen failures of a target: one alone may be slow or cut off itself. */
const MIN_REPORTERS = 2

/** Milliseconds between two notices about one target, which bounds the messages during a fault. */
const NOTICE_INTERVAL_MS = 1_000

/** Number of targets above which those without recent reports are removed. */
const TARGETS_BEFORE_SWEEP = 1_000

interface TargetReports {
  /** Time of the latest report of each gateway. */
  readonly reporters: Map<string, number>
  noticedAt: number
}

/**
 * Collects the failures that gateways report of a target, and decides when all gateways should know.
 *
 * Answers targets of which each gateway uses only a small part: by its own requests alone, each gateway would lose some before it avoids
 * the target.
 */
export class FailureReports {
  private readonly _targets = new Map<string, TargetReports>()

  /** Records a report; returns whether all gateways are to be notified now. */
  add (target: string, reporter: string, now: number): boolean {
    if (this._targets.size > TARGETS_BEFORE_SWEEP) this._sweep(now)
    const reports = this._targets.get(target) ?? { reporters: new Map<string, number>(), noticedAt: -Infinity }
    this._targets.set(target, reports)
    reports.reporters.set(reporter, now)
    for (const [id, reportedAt] of reports.reporters) if (now - reportedAt > REPORT_WINDOW_MS) reports.reporters.delete(id)
    if (reports.reporters.size < MIN_REPORTERS || now - reports.noticedAt < NOTICE_INTERVAL_MS) return false
    reports.noticedAt = now
    return true
  }

  private _sweep (now: number): void {
    for (const [target, { reporters }] of this._targets) {
      if (now - Math.max(...reporters.values()) > REPORT_WINDOW_MS) this._targets.delete(target)
    }
  }
}
