import { expect } from 'earl'
import { callModel, openSession } from '../world/helpers.js'
import type { Step } from '../world/ScriptedCaller.js'
import { HOLD_LIMIT_MS, Simulation } from '../world/Simulation.js'

describe('the KV cache that engines hold for a session', () => {
  /** Runs a session and returns the holds that remain HOLD_LIMIT_MS after the end of its script. */
  function doTest (script: readonly Step[], prepare: (simulation: Simulation) => void = () => {}): string[] {
    const simulation = new Simulation()
    prepare(simulation)
    simulation.addCaller('werkstatt', script)
    simulation.run()
    return simulation.targets.flatMap(target => [...target.holds.keys()])
  }

  const completeSession: Step[] = [openSession('s'), callModel('s', 1), { type: 'close', session: 's' }]

  it('should be released after the session is closed', () => {
    expect(doTest(completeSession)).toEqual([])
  })

  it('should be held during a tool pause', () => {
    const simulation = new Simulation()
    simulation.addCaller('werkstatt', [openSession('s'), callModel('s', 1), { type: 'pause', ms: 30_000 }, callModel('s', 2)])
    for (const caller of simulation.callers) caller.start()
    simulation.scheduler.runUntil(() => false, 20_000)
    expect(simulation.targets.flatMap(target => [...target.holds.keys()])).toEqual(['s'])
  })

  it(`should be released ${HOLD_LIMIT_MS} ms after the session was abandoned`, () => {
    expect(doTest([openSession('s'), callModel('s', 1)])).toEqual([])
  })

  it('should be released when the first release is lost', () => {
    expect(doTest(completeSession, simulation => { for (const target of simulation.targets) target.releasesToLose = 1 })).toEqual([])
  })

  it('should be released when the sidecar was restarted and has lost its leases', () => {
    expect(doTest([openSession('s'), callModel('s', 1)], simulation => {
      simulation.scheduler.addTimer('platform', 5_000, () => { for (const sidecar of simulation.sidecars.values()) sidecar.restart() })
    })).toEqual([])
  })

  it('should be released when the entry that releases it is killed', () => {
    expect(doTest(completeSession, simulation => { simulation.injectAfter({ fault: 'kill-entry', effect: 'release s' }) })).toEqual([])
  })
})
