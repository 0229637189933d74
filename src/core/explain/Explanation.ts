import type { TurnRow } from '../history/index.js'
import type { SessionRow } from '../session/SessionRow.js'
import type { RequestRecord } from './RequestLog.js'
import type { TraceStep } from './Trace.js'

/** Explanation of a session: its budget, its calls with their steps, and its refused requests. */
export interface SessionExplanation {
  readonly session: SessionRow
  readonly turns: readonly TurnRow[]
  /** Requests without a turn row, from the request log of this entry. */
  readonly refused: readonly RequestRecord[]
}

/** Formats the explanation of a session as lines of text. */
export function formatSessionExplanation (explanation: SessionExplanation): string[] {
  const { session, turns, refused } = explanation
  const { budget } = session
  return [
    `session ${session.id} (program ${session.program}, workspace ${session.workspace}) is ${session.state}`,
    `  opened ${formatTime(session.openedAt)}; next call ${session.nextCall}; epoch ${session.epoch}`,
    `  budget: ${budget.spentTokens} of ${budget.tokens} tokens spent, ${budget.reservedTokens} reserved, ${budget.lentTokens} lent to sub-agents; ` +
      `${budget.spentCalls} of ${budget.calls} calls`,
    ...(session.pending === undefined ? [] : [`  pending: ${session.pending.attempt} at ${session.pending.target}, try ${session.pending.tries}`]),
    ...turns.flatMap(formatTurn),
    ...refused.flatMap(formatRequest)
  ]
}

/** Formats the record of one request as lines of text. */
export function formatRequest (record: RequestRecord): string[] {
  const location = record.session === '' ? '' : ` session ${record.session} call ${record.call}`
  const tookMs = record.endedAt - record.receivedAt
  return [`request ${record.id} (${record.kind}${location}): ${record.result} after ${tookMs} ms`, ...formatSteps(record.steps)]
}

function formatTurn (turn: TurnRow): string[] {
  const first = turn.steps[0]?.at ?? 0
  const last = turn.steps.at(-1)?.at ?? first
  return [`  call ${turn.call} (${turn.kind}): ${turn.outcome}, ${turn.answer.tokens} tokens, ${last - first} ms`, ...formatSteps(turn.steps)]
}

function formatSteps (steps: readonly TraceStep[]): string[] {
  const start = steps[0]?.at ?? 0
  return steps.map(step => {
    const instance = step.instance === undefined ? '' : ` @${step.instance}`
    return `    +${String(step.at - start).padStart(5)} ms  ${step.step.padEnd(11)} ${step.detail}${instance}`
  })
}

function formatTime (time: number): string {
  return new Date(time).toISOString()
}
