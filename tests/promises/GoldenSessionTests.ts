import { expect } from 'earl'
import { findViolations } from '../world/invariants.js'
import { createSimulation } from '../world/scripts.js'
import type { FaultAfterEffect } from '../world/Simulation.js'

describe('a whole session', () => {
  /** Runs both scripts under faults and compares the transcript with the snapshot. */
  function doTest (context: Mocha.Context, ...faults: readonly FaultAfterEffect[]): void {
    const simulation = createSimulation()
    for (const fault of faults) simulation.injectAfter(fault)
    const hasEnded = simulation.run()
    expect(findViolations(simulation, hasEnded)).toEqual([])
    expect(simulation.transcript).toMatchSnapshot(context)
  }

  it('should be completed without faults', function () {
    doTest(this)
  })

  it('should continue at another entry when its entry is killed during a stream', function () {
    doTest(this, { fault: 'kill-entry', effect: 'dispatch session/c-1#4' })
  })

  it('should not book twice when its entry is killed between claim and dispatch', function () {
    doTest(this, { fault: 'kill-entry', effect: 'commit session/c-1 (open, next 3, spent 15, reserved 0, pending 3)' })
  })

  it('should report an unknown outcome when the sidecar is killed while a booking runs', function () {
    doTest(this, { fault: 'kill-sidecar', effect: 'dispatch session/c-1#3' })
  })

  it('should fence an entry that resumes after another entry has taken over its booking', function () {
    doTest(this, { fault: 'freeze-entry', effect: 'commit session/c-1 (open, next 3, spent 15, reserved 0, pending 3)' })
  })

  it('should fence an entry that resumes during a settlement', function () {
    doTest(this, { fault: 'freeze-entry', effect: 'collect session/c-1#4' })
  })

  it('should recognise its own claim when the response of the store is lost', function () {
    doTest(this, { fault: 'lose-answer', effect: 'read session/c-1 turn/c-1/3' })
  })

  it('should withhold the completion of a response during a store outage', function () {
    doTest(this, { fault: 'outage', effect: 'collect session/c-1#4' })
  })

  it('should retry on another target when one crashes during a stream', function () {
    doTest(this, { fault: 'crash-target', effect: 'dispatch session/c-1#4' })
  })

  it('should reattach when the connection to a sidecar is lost during a stream', function () {
    doTest(this, { fault: 'cut-link', effect: 'dispatch session/c-1#4' })
  })
})
