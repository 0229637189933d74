import type { Reply } from '../../src/core/call/index.js'
import type { ScriptedCaller, Step } from './ScriptedCaller.js'
import type { Simulation } from './Simulation.js'

/** Gets a label for a reply: `answered`, the state of a session, or the reason for a refusal. */
export function getReplyLabel (reply: Reply): string {
  if (reply.type === 'refusal') return reply.refusal.reason
  return reply.type === 'session' ? reply.session.state : 'answered'
}

/** Gets the labels of all replies that a caller received. */
export function getReplyLabels (caller: ScriptedCaller): string[] {
  return caller.replies.map(received => getReplyLabel(received.reply))
}

/** Creates a step that opens a session; a session of a sub-agent has a budget of three calls. */
export function openSession (session: string, tokens = 100, parent?: string): Step {
  return { type: 'open', session, tokens, ...(parent === undefined ? {} : { parent, calls: 3 }) }
}

/** Creates a step that calls a model. */
export function callModel (session: string, call: number, text = `Question ${call}`, maxTokens = 10): Step {
  return { type: 'model', session, call, text, maxTokens }
}

/** Creates a step that calls a plain service. */
export function callService (session: string, call: number, operation = 'booking', repeatable = false): Step {
  return { type: 'service', session, call, operation, repeatable }
}

/** Counts the runs of an operation across all targets. */
export function countRuns (simulation: Simulation, operation: string): number {
  return simulation.targets.flatMap(target => target.runs).filter(run => run.operation === operation).length
}
