import { expect } from 'earl'
import { callModel, getReplyLabels, openSession, callService } from '../world/helpers.js'
import { findViolations } from '../world/invariants.js'
import { Simulation } from '../world/Simulation.js'

/** Milliseconds after which a draining target receives no new requests. */
const DRAIN_NOTICE_LIMIT_MS = 3_000

describe('a target that is draining', () => {
  it(`should start no new request after ${DRAIN_NOTICE_LIMIT_MS} ms, though the instance list does not show that it is draining`, () => {
    const simulation = new Simulation()
    const draining = simulation.sidecars.get('kanzlei-2')!
    const calls = [...Array(9).keys()].map(index => callService('s', index + 1, `booking-${index}`))
    const caller = simulation.addCaller('werkstatt', [openSession('s'), ...calls.flatMap(call => [call, { type: 'pause', ms: 1_000 } as const])])
    const drainedFrom = simulation.scheduler.clock.now() + 2_500
    simulation.scheduler.addTimer('platform', 2_500, () => { draining.core.setLeaving() })
    const hasEnded = simulation.run()
    expect(findViolations(simulation, hasEnded)).toEqual([])
    expect(getReplyLabels(caller).filter(label => label === 'answered').length).toEqual(9)
    expect(draining.target.runs.filter(run => run.startedAt > drainedFrom + DRAIN_NOTICE_LIMIT_MS)).toEqual([])
  })

  it('should complete the runs in progress', () => {
    const simulation = new Simulation()
    const caller = simulation.addCaller('werkstatt', [openSession('s', 400), callModel('s', 1, 'long [tokens=300]', 300)])
    simulation.scheduler.addTimer('platform', 200, () => { for (const sidecar of simulation.sidecars.values()) sidecar.core.setLeaving() })
    simulation.run()
    expect(getReplyLabels(caller)).toEqual(['open', 'answered'])
    expect([...simulation.sidecars.values()].every(sidecar => sidecar.core.isDrained())).toEqual(true)
  })
})
