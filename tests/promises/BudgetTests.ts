import { expect } from 'earl'
import { callModel, countRuns, getReplyLabels, openSession, callService } from '../world/helpers.js'
import { findViolations } from '../world/invariants.js'
import type { Step } from '../world/ScriptedCaller.js'
import { Simulation } from '../world/Simulation.js'

describe('the budget of a session', () => {
  function doTest (scripts: ReadonlyArray<readonly Step[]>, seed?: number): string[][] {
    const simulation = new Simulation(seed)
    const callers = scripts.map(script => simulation.addCaller('werkstatt', script))
    const hasEnded = simulation.run()
    expect(findViolations(simulation, hasEnded)).toEqual([])
    return callers.map(getReplyLabels)
  }

  it('should limit sub-agents that are opened concurrently', () => {
    for (let seed = 1; seed <= 30; seed++) {
      const createChildScript = (name: string): Step[] => [
        { type: 'pause', ms: 50 }, openSession(name, 40, 'p'), callModel(name, 1, 'x [tokens=99] [ignore-max]', 40)
      ]
      const labels = doTest([[openSession('p', 100)], createChildScript('p-1'), createChildScript('p-2'), createChildScript('p-3')], seed)
      expect(labels.slice(1).flat().filter(label => label === 'budget-tokens').length).toEqual(1)
    }
  })

  it('should not be exceeded by an engine that ignores the token limit', () => {
    const script = [openSession('s', 25), callModel('s', 1, 'a [tokens=500] [ignore-max]'), callModel('s', 2, 'b [tokens=500] [ignore-max]'), callModel('s', 3)]
    expect(doTest([script])).toEqual([['open', 'answered', 'answered', 'budget-tokens']])
  })

  it('should not be exceeded when the connection to an attempt is lost and the call is resent', () => {
    const simulation = new Simulation()
    const caller = simulation.addCaller('werkstatt', [openSession('s', 15), callModel('s', 1, 'x [tokens=10]')])
    simulation.injectAfter({ fault: 'cut-link', effect: 'dispatch session/s#1' })
    const hasEnded = simulation.run()
    expect(findViolations(simulation, hasEnded)).toEqual([])
    expect(getReplyLabels(caller)).toEqual(['open', 'attempts-failed', 'budget-tokens'])
  })

  it('should stop a program that repeats one call', () => {
    const script = [openSession('s'), ...[1, 2, 3, 4].map(call => callModel('s', call, 'again'))]
    expect(doTest([script])).toEqual([['open', 'answered', 'answered', 'answered', 'loop-detected']])
  })

  it('should stop a program that loops with changing calls', () => {
    const script = [openSession('s', 1_000), ...[...Array(11).keys()].map(index => callModel('s', index + 1))]
    expect(doTest([script])[0]!.at(-1)).toEqual('budget-calls')
  })

  it('should let a session continue after a tool that hangs', () => {
    const hangingStep: Step = { type: 'service', session: 's', call: 1, operation: 'booking [hang]', repeatable: false }
    const simulation = new Simulation()
    for (const sidecar of simulation.sidecars.values()) sidecar.target.hangingOperation = 'booking [hang]'
    const caller = simulation.addCaller('werkstatt', [openSession('s'), hangingStep, callModel('s', 2)])
    simulation.run()
    // The caller resent the call while it was pending, and got the same reply each time.
    expect([...new Set(getReplyLabels(caller))]).toEqual(['open', 'outcome-unknown', 'answered'])
    expect(countRuns(simulation, 'booking [hang]')).toEqual(1)
  })

  it('should return the tokens that a sub-agent did not spend', () => {
    const script = [openSession('p', 50), openSession('p-1', 40, 'p'), callModel('p-1', 1), { type: 'close', session: 'p-1' } as const, callModel('p', 1, 'x', 44), callService('p', 2)]
    expect(doTest([script])).toEqual([['open', 'open', 'answered', 'closed', 'answered', 'answered']])
  })
})
