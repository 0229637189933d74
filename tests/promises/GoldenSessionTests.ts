import { expect } from 'earl'
import { findViolations } from '../world/invariants.js'
import { createSimulation } from '../world/scripts.js'
import type { FaultAfterEffect } from '../world/Simulation.js'

describe('a whole session', () => {
  /** Plays both scripts under failures and compares the transcript with its golden file. */
  function doTest (context: Mocha.Context, ...faults: readonly FaultAfterEffect[]): void {
    const simulation = createSimulation()
    for (const fault of faults) simulation.injectAfter(fault)
    const hasEnded = simulation.run()
    expect(findViolations(simulation, hasEnded)).toEqual([])
    expect(simulation.transcript).toMatchSnapshot(context)
  }

  it('should run to its end without failures', function () {
    doTest(this)
  })

  it('should go on at another entry when its entry is killed in mid-stream', function () {
    doTest(this, { fault: 'kill-entry', effect: 'dispatch session/c-1#4' })
  })

  it('should not book twice when its entry is killed between claim and dispatch', function () {
    doTest(this, { fault: 'kill-entry', effect: 'commit session/c-1 (open, next 3, spent 15, reserved 0, pending 3)' })
  })

  it('should say that the outcome is unknown when the sidecar of a booking dies with it', function () {
    doTest(this, { fault: 'kill-sidecar', effect: 'dispatch session/c-1#3' })
  })

  it('should fence an entry that wakes after its booking was taken over', function () {
    doTest(this, { fault: 'freeze-entry', effect: 'commit session/c-1 (open, next 3, spent 15, reserved 0, pending 3)' })
  })

  it('should fence an entry that wakes in the middle of a settlement', function () {
    doTest(this, { fault: 'freeze-entry', effect: 'collect session/c-1#4' })
  })

  it('should recognise its own claim when the answer of the store is lost', function () {
    doTest(this, { fault: 'lose-answer', effect: 'read session/c-1 turn/c-1/3' })
  })

  it('should hold the end of an answer through an outage of the store', function () {
    doTest(this, { fault: 'outage', effect: 'collect session/c-1#4' })
  })

  it('should take another target when one crashes in mid-stream', function () {
    doTest(this, { fault: 'crash-target', effect: 'dispatch session/c-1#4' })
  })

  it('should attach again when the link to a sidecar is cut in mid-stream', function () {
    doTest(this, { fault: 'cut-link', effect: 'dispatch session/c-1#4' })
  })
})
