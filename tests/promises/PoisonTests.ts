import { expect } from 'earl'
import { callModel, getReplyLabels, openSession } from '../world/helpers.js'
import { Simulation } from '../world/Simulation.js'

describe('a request that crashes its targets', () => {
  function countTargetsWithRuns (simulation: Simulation): number {
    return new Set(simulation.targets.flatMap(target => target.runs).map(run => run.target)).size
  }

  it('should crash two targets at most, however often it is sent', () => {
    const simulation = new Simulation()
    const caller = simulation.addCaller('werkstatt', [
      openSession('s'), callModel('s', 1, 'x [crash]'), openSession('t'), callModel('t', 1, 'x [crash]'), openSession('u'), callModel('u', 1, 'x [crash]')
    ])
    simulation.run()
    expect(getReplyLabels(caller)).toEqual(['open', 'attempts-failed', 'quarantined', 'open', 'quarantined', 'open', 'quarantined'])
    expect(countTargetsWithRuns(simulation)).toEqual(2)
  })

  it('should be refused by another entry too', () => {
    const simulation = new Simulation()
    const caller = simulation.addCaller('werkstatt', [openSession('s'), callModel('s', 1, 'x [crash]'), callModel('s', 1, 'x [crash]'), callModel('s', 1, 'fine')])
    simulation.injectAfter({ fault: 'kill-entry', effect: 'refused: attempts-failed' })
    simulation.run()
    expect(getReplyLabels(caller).at(-1)).toEqual('answered')
    expect(getReplyLabels(caller)).toInclude('quarantined')
  })

  it('should not quarantine a request whose target crashed once', () => {
    const simulation = new Simulation()
    const caller = simulation.addCaller('werkstatt', [openSession('s'), callModel('s', 1)])
    simulation.injectAfter({ fault: 'crash-target', effect: 'dispatch session/s#1' })
    simulation.run()
    expect(getReplyLabels(caller)).toEqual(['open', 'answered'])
  })
})
