import { isRefusalReason, REFUSALS } from '../reason/index.js'
import { getText, isEnd, type LogLine } from './LogLine.js'

/** Milliseconds within which an answer needs no explanation of its time. */
const USUAL_MS = 200

/** What happened to a request, why, and what an operator can do. */
export interface RequestFinding {
  readonly what: string
  readonly why: string
  readonly advice: string
}

/** Path of one request through the gateways, from the lines that name it. */
export class RequestPath {
  private readonly _id: string
  private readonly _own: readonly LogLine[]
  private readonly _lines: readonly LogLine[]
  private readonly _context: readonly LogLine[]

  /** Takes the lines that name the request, and those about the gateways and targets concerned, each in order of time. */
  constructor (id: string, lines: readonly LogLine[], context: readonly LogLine[]) {
    this._id = id
    this._own = lines.filter(line => getText(line, 'req') === id)
    this._lines = lines.filter(line => ['req', 'turn', 'subject'].some(key => getText(line, key) === id))
    this._context = context
  }

  /** Checks whether the caller got a complete response of a target. */
  isServed (): boolean {
    const end = this._getEnd()
    return end?.event === 'answered' && Number(end.fields.status) < 400
  }

  /** Gets the milliseconds that the request took; undefined if its end is not known. */
  getTookMs (): number | undefined {
    const tookMs = this._getEnd()?.fields.tookMs
    return typeof tookMs === 'number' ? tookMs : undefined
  }

  /** Finds what happened to the request. */
  getFinding (): RequestFinding {
    const end = this._getEnd()
    if (end === undefined) return this._getFindingWithoutEnd()
    const after = `after ${String(end.fields.tookMs ?? '?')} ms at ${end.process}`
    const what = `request ${this._id}: `
    if (end.event === 'refused') {
      const reason = getText(end, 'reason') ?? 'no reason stated'
      const description = isRefusalReason(reason) ? REFUSALS[reason] : undefined
      return {
        what: `${what}refused with ${reason} (${description?.status ?? '?'}, ${description?.outcome ?? 'outcome not stated'}) ${after}`,
        why: [description?.title, ...this._getCauses(end)].filter(Boolean).join(' '),
        advice: description?.advice ?? 'The reason is not one of this version; read the lines below.'
      }
    }
    if (end.event === 'answer-broken-off') {
      const cause = getText(end, 'cause') ?? 'no cause stated'
      return {
        what: `${what}its response broke off ${after}`,
        why: [isRefusalReason(cause) ? REFUSALS[cause].title : `Cause: ${cause}.`, ...this._getCauses(end)].join(' '),
        advice: isRefusalReason(cause) ? REFUSALS[cause].advice : 'Read the lines of its target and of the store below.'
      }
    }
    if (end.event === 'caller-disconnected') {
      const when = end.fields.hasStarted === true ? 'during the response' : 'before the response began'
      return { what: `${what}its caller left ${when}, ${after}`, why: this._getSlowness(end), advice: 'Compare the time with the time limit of the caller.' }
    }
    const advice = this.isServed() ? 'None: the caller got the response of the target.' : 'Search the log of the target for the id: the status is its own.'
    return { what: `${what}answered with ${String(end.fields.status)} ${after}`, why: this._getSlowness(end), advice }
  }

  private _getFindingWithoutEnd (): RequestFinding {
    const last = this._lines.at(-1)
    if (last === undefined) return { what: `request ${this._id}: no line of its own`, why: 'Only other requests name it.', advice: 'Add the logs of the other gateways.' }
    const restart = this._context.find(({ process, at, event }) => process === last.process && at >= last.at && event === 'listening')
    return {
      what: `request ${this._id}: without an end; its last line is "${last.event}" at ${last.process}`,
      why: restart === undefined
        ? `${last.process} was killed after it, the request is still in progress, or lines are missing.`
        : `${last.process} was killed meanwhile: a new process listens ${restart.at - last.at} ms after that line.`,
      advice: 'Its outcome is unknown here: search the log of the target for the id.'
    }
  }

  /** Gets the causes that the lines of the request and of its gateway name, as sentences. */
  private _getCauses (end: LogLine): string[] {
    const failures = this._lines.filter(line => line !== end && getText(line, 'cause') !== undefined)
    const causes = failures.map(line => {
      const target = getText(line, 'target')
      return `${line.event}${target === undefined ? '' : ` at ${target}`}: ${getText(line, 'cause')!.replace(/\.$/, '')}.`
    })
    const storeEvents = ['store-away', 'store-back']
    const away = this._context.findLast(line => line.process === end.process && line.at <= end.at && storeEvents.includes(line.event))
    if (away?.event === 'store-away') causes.push(`The store was away for ${end.process} since ${end.at - away.at} ms before.`)
    for (const target of this._getTargets()) {
      const lost = this._context.findLast(line => line.at <= end.at && isTargetLost(line, target))
      if (lost !== undefined) causes.push(`${lost.event} ${target}, ${end.at - lost.at} ms before.`)
    }
    return [...new Set(causes)]
  }

  /** States where the time of a request went: the longest pause between two of its lines. */
  private _getSlowness (end: LogLine): string {
    const tookMs = this.getTookMs()
    if (tookMs === undefined || tookMs < USUAL_MS) return 'Nothing in its lines is unusual.'
    const startedAt = end.at - tookMs
    let longest = { ms: -1, text: '' }
    let previous = { at: startedAt, name: 'its arrival' }
    for (const line of this._lines) {
      const name = `"${line.event}"`
      if (line.at - previous.at > longest.ms) longest = { ms: line.at - previous.at, text: `between ${previous.name} and ${name}` }
      previous = { at: line.at, name }
    }
    const sends = this._own.filter(({ event }) => event === 'dispatched').length
    return `${longest.ms} of ${tookMs} ms passed ${longest.text}; attempts at targets: ${sends}.`
  }

  /** Gets the line with what the caller saw: a request whose caller has left may get another one when its target responds. */
  private _getEnd (): LogLine | undefined {
    return this._own.find(isEnd)
  }

  /** Gets the ids of the targets to which the request was sent. */
  private _getTargets (): string[] {
    return [...new Set(this._own.flatMap(line => line.event === 'dispatched' ? getText(line, 'target')?.split('@')[0] ?? [] : []))]
  }
}

/** Checks whether a line states that a target gets no more requests. */
function isTargetLost (line: LogLine, target: string): boolean {
  if (line.event === 'target-changed') return line.fields.isLeaving === true && getText(line, 'id') === target
  return ['target-ejected', 'target-removed', 'target-leaving'].includes(line.event) && getText(line, 'target')?.split('@')[0] === target
}
