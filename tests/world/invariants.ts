import { getFirstHead, getNextHead, type TurnRow } from '../../src/core/history/index.js'
import { Outcome, REFUSALS } from '../../src/core/reason/index.js'
import { getTurnKey, type SessionRow } from '../../src/core/session/index.js'
import type { RecordedRun } from './FakeTarget.js'
import type { ReceivedReply, Step } from './ScriptedCaller.js'
import type { Simulation } from './Simulation.js'

/** Checks the invariants on the outcome of a simulation; returns the violations. */
export function findViolations (simulation: Simulation, hasEnded: boolean): string[] {
  const sessions = getSessions(simulation)
  return [
    ...(hasEnded ? [] : ['liveness: a script was not completed in time']),
    ...simulation.callers.flatMap(caller => caller.abandonedSteps.map(step => `liveness: abandoned ${describeStep(step)}`)),
    ...sessions.flatMap(session => checkOrder(simulation, session)),
    ...sessions.flatMap(session => checkHistory(simulation, session)),
    ...sessions.flatMap(session => checkBudget(simulation, session)),
    ...checkHolds(simulation),
    ...checkRuns(simulation),
    ...checkResponses(simulation, sessions)
  ]
}

function getSessions (simulation: Simulation): SessionRow[] {
  const keys = simulation.table.rows.getKeys().filter(key => key.startsWith('session/'))
  return [...simulation.table.rows.read(keys).values()].map(row => row.value as SessionRow)
}

function getTurns (simulation: Simulation, session: SessionRow): TurnRow[] {
  const keys: string[] = []
  for (let call = 1; call < session.nextCall; call++) keys.push(getTurnKey(session.id, call))
  const rows = simulation.table.rows.read(keys)
  return keys.flatMap(key => rows.has(key) ? [rows.get(key)!.value as TurnRow] : [])
}

function getRuns (simulation: Simulation): RecordedRun[] {
  return simulation.targets.flatMap(target => target.runs).sort((a, b) => a.startedAt - b.startedAt)
}

function checkOrder (simulation: Simulation, session: SessionRow): string[] {
  const calls = getRuns(simulation).filter(run => run.ledgerKey === `session/${session.id}`).map(run => run.call)
  const isOrdered = calls.every((call, index) => index === 0 || call >= calls[index - 1]!)
  return isOrdered ? [] : [`order: calls of ${session.id} ran as ${calls.join(', ')}`]
}

function checkHistory (simulation: Simulation, session: SessionRow): string[] {
  const turns = getTurns(simulation, session)
  const violations: string[] = []
  if (turns.length !== session.nextCall - 1) violations.push(`history: ${session.id} has ${turns.length} of ${session.nextCall - 1} turns`)
  if (turns.reduce(getNextHead, getFirstHead(session.id)) !== session.head) violations.push(`history: the hash chain of ${session.id} does not lead to its head`)
  for (const turn of turns) {
    const step = findStep(simulation, session.id, turn.call)
    const text = step?.type === 'model' ? step.text : undefined
    if (turn.kind === 'model' && turn.messages.length > 0 && turn.messages[0]?.content !== text) violations.push(`history: ${session.id} call ${turn.call} contains the messages of another request`)
  }
  return violations
}

function checkBudget (simulation: Simulation, session: SessionRow): string[] {
  const { budget } = session
  const generated = getRuns(simulation).filter(run => run.ledgerKey === `session/${session.id}`).reduce((sum, run) => sum + run.tokens, 0)
  const violations: string[] = []
  if (budget.spentTokens + budget.reservedTokens + budget.lentTokens > budget.tokens) violations.push(`budget: ${session.id} has spent, reserved and lent more than its ${budget.tokens} tokens`)
  if (generated > budget.tokens) violations.push(`budget: engines generated ${generated} tokens for ${session.id}, which has ${budget.tokens}`)
  if (budget.reservedTokens < 0 || budget.lentTokens < 0) violations.push(`budget: ${session.id} has a negative number of reserved or lent tokens`)
  return violations
}

function checkHolds (simulation: Simulation): string[] {
  return simulation.targets.filter(target => target.holds.size > 0).map(target => `memory: ${target.id} still holds ${[...target.holds.keys()].join(', ')}`)
}

function checkRuns (simulation: Simulation): string[] {
  const runs = getRuns(simulation)
  return simulation.callers.flatMap(caller => getAtMostOnceSteps(caller.replies).flatMap(step => {
    const count = runs.filter(run => isRunOf(run, step)).length
    const lastReply = caller.replies.filter(received => received.step === step).at(-1)!.reply
    const isRefusedAsNotRun = lastReply.type === 'refusal' && REFUSALS[lastReply.refusal.reason].outcome === Outcome.NotRun
    const violations: string[] = []
    if (count > 1) violations.push(`at most once: ${describeStep(step)} ran ${count} times`)
    if (isRefusedAsNotRun && count > 0) violations.push(`not run: ${describeStep(step)} ran, but its caller was refused with ${lastReply.refusal.reason}`)
    if (lastReply.type === 'answer' && count !== 1) violations.push(`answered: ${describeStep(step)} ran ${count} times`)
    return violations
  }))
}

function checkResponses (simulation: Simulation, sessions: readonly SessionRow[]): string[] {
  return simulation.callers.flatMap(caller => caller.replies.flatMap(({ step, reply }) => {
    if (reply.type !== 'answer' || (step.type !== 'model' && step.type !== 'service')) return []
    const session = sessions.find(candidate => candidate.id === step.session)!
    const storedTurn = getTurns(simulation, session)[step.call - 1]
    const isForStep = reply.turn.session === step.session && reply.turn.call === step.call
    const isAsStored = storedTurn?.answer.text === reply.turn.answer.text
    const isGenerated = step.type !== 'model' || getRuns(simulation).some(run => isRunOf(run, step) && run.text === reply.turn.answer.text)
    return isForStep && isAsStored && isGenerated ? [] : [`complete response: the response to ${describeStep(step)} was "${reply.turn.answer.text}"`]
  }))
}

function findStep (simulation: Simulation, session: string, call: number): Step | undefined {
  return simulation.callers.flatMap(caller => caller.replies.map(received => received.step)).find(step =>
    (step.type === 'model' || step.type === 'service') && step.session === session && step.call === call)
}

/** Gets the steps that must run at most once and have a reply. */
function getAtMostOnceSteps (replies: readonly ReceivedReply[]): Step[] {
  const steps = replies.map(received => received.step).filter(step => step.type === 'request' || (step.type === 'service' && !step.repeatable))
  return [...new Set(steps)]
}

function isRunOf (run: RecordedRun, step: Step): boolean {
  if (step.type === 'request') return run.ledgerKey.startsWith('key/') && run.operation === step.operation
  return (step.type === 'service' || step.type === 'model') && run.ledgerKey === `session/${step.session}` && run.call === step.call
}

function describeStep (step: Step): string {
  return JSON.stringify(step)
}
