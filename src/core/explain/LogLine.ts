import { unscopeId } from '../workspace/index.js'

/** One line of a gateway's log: a decision that touches a request, or a change of what the gateway believes. */
export interface LogLine {
  /** Milliseconds since the Unix epoch, by the clock of the gateway. */
  readonly at: number
  /** Id of the gateway. */
  readonly process: string
  readonly event: string
  /** Inputs and outcome of the decision. */
  readonly fields: Readonly<Record<string, unknown>>
}

/** Events that end a request; each request has one of them, unless its gateway was killed. */
const END_EVENTS: ReadonlySet<string> = new Set(['answered', 'refused', 'answer-broken-off', 'caller-disconnected'])

/** Checks whether a line is the last one of a request. */
export function isEnd (line: LogLine): boolean {
  return END_EVENTS.has(line.event)
}

/** Gets a field of a line if it is a string. */
export function getText ({ fields }: LogLine, key: string): string | undefined {
  const value = fields[key]
  return typeof value === 'string' ? unscopeId(value) : undefined
}

/** Parses a line, after any prefix that a log collector puts before it; returns undefined for other or incomplete lines. */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const { time, level, process, event, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>
    const at = typeof time === 'string' ? Date.parse(time) : NaN
    if (typeof process !== 'string' || typeof event !== 'string' || Number.isNaN(at)) return undefined
    return { at, process, event, fields }
  } catch {
    return undefined
  }
}

/** Formats a line with its time after a start, in milliseconds. */
export function formatLogLine ({ at, process, event, fields }: LogLine, startAt: number): string {
  const inputs = Object.entries(fields).map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `  ${`+${at - startAt}`.padStart(8)} ms  ${process}  ${[event, ...inputs].join(' ')}`
}
