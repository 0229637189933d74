import fc from 'fast-check'
import { Fault, type PlannedFault } from '../world/Simulation.js'
import { findViolationsUnder } from './singleFaults.js'

/** Maximum number of faults in one run. */
const MAX_FAULTS = 4

/** Last action before which faults are injected. */
const MAX_ACTION = 900

const plannedFault: fc.Arbitrary<PlannedFault> = fc.record({
  fault: fc.constantFrom(...Object.values(Fault)),
  at: fc.integer({ min: 1, max: MAX_ACTION }),
  where: fc.nat({ max: 4 })
})

/** Runs random interleavings under random faults; throws with the smallest case that violates an invariant. */
export function checkInterleavings (seed: number, numRuns: number): void {
  fc.assert(fc.property(fc.array(plannedFault, { maxLength: MAX_FAULTS }), fc.nat(), (faults, orderSeed) => {
    const violations = findViolationsUnder(faults, orderSeed)
    if (violations.length > 0) throw new Error(violations.join('\n'))
  }), { seed, numRuns })
}
