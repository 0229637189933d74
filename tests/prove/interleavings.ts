import fc from 'fast-check'
import { Fault, type PlannedFault } from '../world/Simulation.js'
import { findViolationsUnder } from './singleFaults.js'

/** Failures that strike one run at most. */
const MAX_FAULTS = 4

/** Action up to which failures strike. */
const MAX_ACTION = 900

const plannedFault: fc.Arbitrary<PlannedFault> = fc.record({
  fault: fc.constantFrom(...Object.values(Fault)),
  at: fc.integer({ min: 1, max: MAX_ACTION }),
  where: fc.nat({ max: 4 })
})

/** Plays random interleavings under random failures; throws with the smallest failing case. */
export function checkInterleavings (seed: number, numRuns: number): void {
  fc.assert(fc.property(fc.array(plannedFault, { maxLength: MAX_FAULTS }), fc.nat(), (faults, orderSeed) => {
    const violations = findViolationsUnder(faults, orderSeed)
    if (violations.length > 0) throw new Error(violations.join('\n'))
  }), { seed, numRuns })
}
