import { expect } from 'earl'
import { RetryBudget } from '../../src/core/limits/index.js'
import { callModel, openSession } from '../world/helpers.js'
import { Simulation } from '../world/Simulation.js'

/** Maximum number of attempts per request while a third of the targets fails. */
const MAX_ATTEMPTS_PER_REQUEST = 1.1

describe('retries', () => {
  it('should not multiply the load while a third of the targets fails', () => {
    const simulation = new Simulation()
    simulation.retryBudget = new RetryBudget()
    const sends = { count: 0 }
    for (let index = 0; index < 40; index++) {
      const session = `s-${index}`
      simulation.addCaller('werkstatt', [openSession(session), ...[1, 2, 3, 4, 5].map(call => callModel(session, call))])
    }
    simulation.onCall = () => { sends.count++ }
    const failingSidecar = simulation.sidecars.get('ratgeber-1')!
    simulation.scheduler.addTimer('platform', 1, () => { failingSidecar.target.isUp = false })
    simulation.run()
    const dispatches = simulation.transcript.filter(line => line.includes(' dispatch ')).length
    expect(dispatches <= MAX_ATTEMPTS_PER_REQUEST * sends.count).toEqual(true)
    expect(simulation.callers.every(caller => caller.abandonedSteps.length === 0)).toEqual(true)
  })
})
