import { formatLogLine, type LogLine } from './LogLine.js'
import type { RequestFinding } from './RequestPath.js'

/** Largest number of lines that an explanation shows, half of them the first and half the last ones. */
export const MAX_SHOWN_LINES = 200

/** Explanation of one request or program by the logs of all gateways. */
export interface LogExplanation extends RequestFinding {
  readonly id: string
  readonly kind: 'request' | 'program'
  /** Lines that name the id or a request that belongs to it, over all gateways, in order of time. */
  readonly lines: readonly LogLine[]
}

/** Formats an explanation: what, why and advice in the first three lines, then the lines of the logs. */
export function formatLogExplanation ({ what, why, advice, lines }: LogExplanation): string[] {
  const startAt = lines[0]!.at
  const texts = lines.map(line => formatLogLine(line, startAt))
  const half = MAX_SHOWN_LINES / 2
  const shown = texts.length <= MAX_SHOWN_LINES
    ? texts
    : [...texts.slice(0, half), `  … ${texts.length - MAX_SHOWN_LINES} lines left out`, ...texts.slice(-half)]
  return [what, `why: ${why}`, `advice: ${advice}`, `from ${new Date(startAt).toISOString()}:`, ...shown]
}
