import type { LogExplanation } from './LogExplanation.js'
import { getText, type LogLine } from './LogLine.js'
import { RequestPath, type RequestFinding } from './RequestPath.js'

/** Fields that name a request: the caller's attempt itself, the turn or stream that it began, or the one that it continues. */
const REQUEST_FIELDS = ['req', 'turn', 'stream', 'resumes', 'subject'] as const

/** Events of a gateway or a target that may explain what happened to a request there. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'store-away', 'store-back', 'store-connection-lost', 'store-connection-restored', 'target-ejected', 'target-removed', 'target-changed', 'target-leaving',
  'listening', 'stopping', 'log-lines-dropped'
])

/**
 * Explains one request or program by the lines of all gateways.
 *
 * Logs are read twice, since lines name programs and requests apart: first all lines are passed to `addReferences`, then to `add`.
 */
export class LogExplainer {
  private readonly _id: string
  private readonly _related: Set<string>
  private readonly _lines: LogLine[] = []
  private readonly _context: LogLine[] = []
  private _isProgram = false

  constructor (id: string) {
    this._id = id
    this._related = new Set([id])
  }

  /** Collects the requests of a program, and the streams and turns that a request names. */
  addReferences (line: LogLine): void {
    const isOfProgram = getText(line, 'program') === this._id
    if (isOfProgram) this._isProgram = true
    if (!isOfProgram && !REQUEST_FIELDS.some(key => getText(line, key) === this._id)) return
    for (const key of ['req', 'turn', 'stream', 'resumes']) {
      const id = getText(line, key)
      if (id !== undefined) this._related.add(id)
    }
  }

  /** Collects the lines that belong to the id. */
  add (line: LogLine): void {
    const isRelated = REQUEST_FIELDS.some(key => this._related.has(getText(line, key) ?? '')) || getText(line, 'program') === this._id
    if (isRelated) this._lines.push(line)
    else if (CONTEXT_EVENTS.has(line.event)) this._context.push(line)
  }

  /** Explains the id; undefined if no line names it. */
  explain (): LogExplanation | undefined {
    if (this._lines.length === 0) return undefined
    const lines = this._lines.toSorted((a, b) => a.at - b.at)
    const context = this._context.toSorted((a, b) => a.at - b.at)
    const finding = this._isProgram ? this._explainProgram(lines, context) : new RequestPath(this._id, lines, context).getFinding()
    return { id: this._id, kind: this._isProgram ? 'program' : 'request', ...finding, lines }
  }

  /** Explains a program by the last of its requests that was not served, or else by the slowest one. */
  private _explainProgram (lines: readonly LogLine[], context: readonly LogLine[]): RequestFinding {
    const ofProgram = lines.filter(line => getText(line, 'program') === this._id && line.fields.req !== undefined)
    const paths = [...new Set(ofProgram.map(line => getText(line, 'req')!))].map(req => new RequestPath(req, lines, context))
    const failed = paths.filter(path => !path.isServed())
    const slowest = paths.toSorted((a, b) => (b.getTookMs() ?? 0) - (a.getTookMs() ?? 0))[0]
    const tookMs = lines.at(-1)!.at - lines[0]!.at
    const counts = `program ${this._id}: ${paths.length} requests in ${tookMs} ms, ${failed.length} not served`
    const path = failed.at(-1) ?? slowest
    if (path === undefined) return { what: counts, why: 'No line names a request of it.', advice: 'Add the logs of the other gateways.' }
    const { what, why, advice } = path.getFinding()
    return { what: `${counts}; ${failed.length > 0 ? 'the last of these' : 'the slowest'}: ${what}`, why, advice }
  }
}
