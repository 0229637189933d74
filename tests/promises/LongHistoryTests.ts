import { expect } from 'earl'
import { callModel, getReplyLabels } from '../world/helpers.js'
import { findViolations } from '../world/invariants.js'
import type { Step } from '../world/ScriptedCaller.js'
import { Simulation } from '../world/Simulation.js'

/** Number of calls of the longest session that the users plan for. */
const CALL_COUNT = 570

describe('a session of 570 turns', () => {
  it('should keep its history when its entries are killed and during a store outage', () => {
    const simulation = new Simulation()
    const calls = [...Array(CALL_COUNT).keys()].map(index => callModel('s', index + 1))
    const openingStep: Step = { type: 'open', session: 's', tokens: 6_000, calls: CALL_COUNT }
    const caller = simulation.addCaller('werkstatt', [openingStep, ...calls, { type: 'close', session: 's' }])
    for (const call of [100, 200, 300]) simulation.injectAfter({ fault: 'kill-entry', effect: `dispatch session/s#${call} ` })
    simulation.injectAfter({ fault: 'outage', effect: 'dispatch session/s#400 ' })
    const hasEnded = simulation.run()
    expect(findViolations(simulation, hasEnded)).toEqual([])
    expect(getReplyLabels(caller).at(-1)).toEqual('closed')
    const answered = new Set(caller.replies
      .filter(received => received.reply.type === 'answer')
      .map(received => received.step))
    expect(answered.size).toEqual(CALL_COUNT)
  })
})
