import type { Step } from './ScriptedCaller.js'
import { Simulation } from './Simulation.js'

/** A session with model calls, a pause for a tool, a sub-agent, a lookup and a booking. */
export const CONSULTATION_SCRIPT: readonly Step[] = [
  { type: 'open', session: 'c-1', tokens: 100 },
  { type: 'model', session: 'c-1', call: 1, text: 'Where do I look first?', maxTokens: 10 },
  { type: 'pause', ms: 2_000 },
  { type: 'service', session: 'c-1', call: 2, operation: 'parts-lookup', repeatable: true },
  { type: 'open', session: 'c-1-a', parent: 'c-1', tokens: 30, calls: 3 },
  { type: 'model', session: 'c-1-a', call: 1, text: 'Compare skins. [tokens=9]', maxTokens: 10 },
  { type: 'close', session: 'c-1-a' },
  { type: 'service', session: 'c-1', call: 3, operation: 'booking', repeatable: false },
  { type: 'model', session: 'c-1', call: 4, text: 'What do I bring? [tokens=40] [ignore-max]', maxTokens: 10 },
  { type: 'close', session: 'c-1' }
]

/** A session of another workspace whose id begins with that of the first session. */
export const SIMILAR_ID_SCRIPT: readonly Step[] = [
  { type: 'open', session: 'c-11', tokens: 60 },
  { type: 'model', session: 'c-11', call: 1, text: 'Plan a berth.', maxTokens: 10 },
  { type: 'request', key: 'fee-7', operation: 'fee-charge' },
  { type: 'service', session: 'c-11', call: 2, operation: 'berth-booking', repeatable: false },
  { type: 'model', session: 'c-11', call: 3, text: 'And the way out?', maxTokens: 10 },
  { type: 'close', session: 'c-11' }
]

/** Creates a simulation in which both scripts run concurrently. */
export function createSimulation (seed?: number): Simulation {
  const simulation = new Simulation(seed)
  simulation.addCaller('werkstatt', CONSULTATION_SCRIPT)
  simulation.addCaller('knjizna', SIMILAR_ID_SCRIPT)
  return simulation
}
