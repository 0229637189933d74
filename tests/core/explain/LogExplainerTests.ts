import { expect } from 'earl'
import {
  formatLogExplanation, LogExplainer, LossCounter, MAX_SHOWN_LINES, parseLogLine, type LogExplanation, type LogLine
} from '../../../src/core/explain/index.js'

const START = Date.parse('2026-01-15T16:29:40.000Z')

/** Lines of two gateways: an outage of the store, a stream whose gateway is killed, and a request that fails at its target. */
const LINES = [
  line(0, 'edge-1', 'listening', {}),
  line(100, 'edge-1', 'dispatched', { req: 'turn-1', program: 'p', target: 'i-1@10', version: 'v1', send: 1 }),
  line(600, 'edge-1', 'answered', { req: 'turn-1', status: 200, tookMs: 510 }),
  line(700, 'edge-1', 'store-away', { answeredMsAgo: 400 }),
  line(900, 'edge-1', 'turn-unreadable', { turn: 'turn-0', cause: 'The operation was aborted due to timeout.' }),
  line(910, 'edge-1', 'refused', { req: 'turn-2', program: 'p', reason: 'turn-unreadable', turn: 'turn-0', tookMs: 300 }),
  line(1_000, 'edge-2', 'dispatched', { req: 'stream-1', target: 'i-2@10', version: 'v1', send: 1 }),
  line(1_200, 'edge-2', 'listening', {}),
  line(1_300, 'edge-1', 'refused', { req: 'stream-2', reason: 'version-gone', stream: 'stream-1', tookMs: 4 }),
  line(1_400, 'edge-1', 'dispatched', { req: 'booking', target: 'i-3@10', send: 1 }),
  line(1_450, 'edge-1', 'target-removed', { target: 'i-3' }),
  line(1_500, 'edge-1', 'attempt-failed', { req: 'booking', target: 'i-3@10', cause: 'read ECONNRESET' }),
  line(1_500, 'edge-1', 'refused', { req: 'booking', reason: 'attempts-failed', tookMs: 105 }),
  line(1_600, 'edge-1', 'dispatched', { req: 'left', target: 'i-1@10', send: 1 }),
  line(2_600, 'edge-1', 'caller-disconnected', { req: 'left', hasStarted: false, tookMs: 1_000 }),
  line(2_601, 'edge-1', 'refused', { req: 'left', reason: 'deadline-passed', tookMs: 1_001 }),
  line(2_700, 'edge-1', 'answer-broken-off', { req: 'cut', cause: 'the turn could not be saved in time', tookMs: 20 })
]

describe('LogExplainer', () => {
  for (const id of ['turn-1', 'turn-2', 'stream-1', 'stream-2', 'booking', 'left', 'cut', 'p', 'turn-0']) {
    it(`should explain "${id}" in three lines, then show its lines`, function () {
      expect(formatLogExplanation(explain(id, LINES)!)).toMatchSnapshot(this)
    })
  }

  it('should explain nothing that no line names', () => {
    expect(explain('unknown', LINES)).toEqual(undefined)
  })

  it('should put the lines of several gateways in order of time', () => {
    const times = explain('p', [...LINES].reverse())!.lines.map(({ at }) => at)
    expect(times).toEqual(times.toSorted((a, b) => a - b))
  })

  it('should show the first and the last lines of a program with very many', () => {
    const lines = Array.from({ length: 3 * MAX_SHOWN_LINES }, (_, at) => line(at, 'edge-1', 'dispatched', { req: `r-${at}`, program: 'q' }))
    const text = formatLogExplanation(explain('q', lines)!)
    expect([text.length, text.find(shown => shown.includes('left out'))]).toEqual([MAX_SHOWN_LINES + 5, `  … ${2 * MAX_SHOWN_LINES} lines left out`])
  })
})

describe('parseLogLine', () => {
  it('should ignore what a log collector puts before a line', () => {
    const text = '{"time":"2026-01-15T16:29:40.000Z","level":"INFO","process":"edge-1","event":"refused","req":"r"}'
    expect(parseLogLine(`  35.25 edge-1 ${text}`)).toEqual({ at: START, process: 'edge-1', event: 'refused', fields: { req: 'r' } })
  })

  it('should pass over other and incomplete lines', () => {
    for (const text of ['', 'built in 3 s', '{"event":"refused"}', '{"time":"never","process":"a","event":"b"}', '{"time":"2026-01-15T16:', '{}', '[1]']) {
      expect(parseLogLine(text)).toEqual(undefined)
    }
  })
})

describe('LossCounter', () => {
  it('should count the requests that were not served, by reason', function () {
    const counter = new LossCounter()
    for (const entry of LINES) counter.add(entry)
    expect(counter.getCounts()).toMatchSnapshot(this)
  })
})

function line (afterMs: number, process: string, event: string, fields: Record<string, unknown>): LogLine {
  return { at: START + afterMs, process, event, fields }
}

function explain (id: string, lines: readonly LogLine[]): LogExplanation | undefined {
  const explainer = new LogExplainer(id)
  for (const entry of lines) explainer.addReferences(entry)
  for (const entry of lines) explainer.add(entry)
  return explainer.explain()
}
