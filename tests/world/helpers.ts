import type { Reply } from '../../src/core/call/index.js'
import type { ScriptedCaller, Step } from './ScriptedCaller.js'
import type { Simulation } from './Simulation.js'

/** Gets a reply as one word: `answered`, the state of a session, or the reason of a refusal. */
export function getReplyLabel (reply: Reply): string {
  if (reply.type === 'refusal') return reply.refusal.reason
  return reply.type === 'session' ? reply.session.state : 'answered'
}

/** Gets the words of all replies to a caller. */
export function getReplyLabels (caller: ScriptedCaller): string[] {
  return caller.replies.map(received => getReplyLabel(received.reply))
}

/** Creates a step that opens a session; a sub-agent may make three calls. */
export function openSession (session: string, tokens = 100, parent?: string): Step {
  return { type: 'open', session, tokens, ...(parent === undefined ? {} : { parent, calls: 3 }) }
}

/** Creates a model call. */
export function callModel (session: string, call: number, text = `Question ${call}`, maxTokens = 10): Step {
  return { type: 'model', session, call, text, maxTokens }
}

/** Creates a service call. */
export function callService (session: string, call: number, operation = 'booking', repeatable = false): Step {
  return { type: 'service', session, call, operation, repeatable }
}

/** Counts the runs of an operation at all targets. */
export function countRuns (simulation: Simulation, operation: string): number {
  return simulation.targets.flatMap(target => target.runs).filter(run => run.operation === operation).length
}
