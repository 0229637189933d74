import { getText, isEnd, type LogLine } from './LogLine.js'

/** Number of requests that ended for one reason, and an example. */
export interface LossCount {
  readonly reason: string
  readonly requests: number
  readonly programs: number
  readonly example: string
}

/** Counts the requests that were not served, by reason. */
export class LossCounter {
  private readonly _reasons = new Map<string, { requests: number, readonly programs: Set<string>, example: string }>()

  /** Adds a line of a log. */
  add (line: LogLine): void {
    if (!isEnd(line) || (line.event === 'answered' && Number(line.fields.status) < 400)) return
    const reason = getReason(line)
    const count = this._reasons.get(reason) ?? { requests: 0, programs: new Set(), example: getText(line, 'req') ?? '' }
    count.requests++
    const program = getText(line, 'program')
    if (program !== undefined) count.programs.add(program)
    this._reasons.set(reason, count)
  }

  /** Gets the counts, most requests first. */
  getCounts (): LossCount[] {
    const counts = [...this._reasons].map(([reason, count]) => ({ ...count, reason, programs: count.programs.size }))
    return counts.toSorted((a, b) => b.requests - a.requests)
  }
}

function getReason (line: LogLine): string {
  if (line.event === 'refused') return `refused: ${getText(line, 'reason') ?? 'no reason stated'}`
  if (line.event === 'answer-broken-off') return `broken off: ${getText(line, 'cause') ?? 'no cause stated'}`
  if (line.event === 'caller-disconnected') return 'the caller left'
  return `answered by a target with ${String(line.fields.status)}`
}
