import { expect } from 'earl'
import { callModel, getReplyLabels, openSession } from '../world/helpers.js'
import { findViolations } from '../world/invariants.js'
import { Simulation } from '../world/Simulation.js'

describe('the calls of a session', () => {
  function doTest (seed: number): { first: string[], second: string[], violations: string[] } {
    const simulation = new Simulation(seed)
    const first = simulation.addCaller('werkstatt', [openSession('s'), callModel('s', 1), callModel('s', 2)])
    // A second connection of the same caller sends one call ahead.
    const second = simulation.addCaller('werkstatt', [{ type: 'pause', ms: 100 }, callModel('s', 2), callModel('s', 3)])
    const hasEnded = simulation.run()
    return { first: getReplyLabels(first), second: getReplyLabels(second), violations: findViolations(simulation, hasEnded) }
  }

  it('should run in order when n and n + 1 arrive concurrently', () => {
    for (let seed = 1; seed <= 50; seed++) {
      const result = doTest(seed)
      expect(result.violations).toEqual([])
      expect(result.first.at(-1)).toEqual('answered')
      expect(result.second.at(-1)).toEqual('answered')
    }
  })

  it('should be refused while an earlier one has not been completed', () => {
    const simulation = new Simulation()
    const caller = simulation.addCaller('werkstatt', [openSession('s'), callModel('s', 2)])
    simulation.run()
    expect(new Set(getReplyLabels(caller))).toEqual(new Set(['open', 'call-out-of-order']))
  })

  it('should be refused when the number was used with another body', () => {
    const simulation = new Simulation()
    const caller = simulation.addCaller('werkstatt', [openSession('s'), callModel('s', 1, 'one'), callModel('s', 1, 'another')])
    simulation.run()
    expect(getReplyLabels(caller)).toEqual(['open', 'answered', 'call-conflict'])
  })

  it('should not be visible to another workspace', () => {
    const simulation = new Simulation()
    const owner = simulation.addCaller('werkstatt', [openSession('s'), callModel('s', 1)])
    const otherCaller = simulation.addCaller('knjizna', [{ type: 'pause', ms: 5_000 }, callModel('s', 1), { type: 'close', session: 's' }])
    simulation.run()
    expect(getReplyLabels(owner)).toEqual(['open', 'answered'])
    expect(getReplyLabels(otherCaller)).toEqual(['session-unknown', 'session-unknown'])
  })
})
