import { expect } from 'earl'
import { ALL_PROCESSES, listSingleFaults, findViolationsUnder } from '../prove/singleFaults.js'
import { Fault } from '../world/Simulation.js'

describe('every promise, cut at every action', () => {
  for (const fault of Object.values(Fault)) {
    it(`should hold under ${fault}`, () => {
      // A sidecar of each service takes part in the scripts; entries are alike.
      const singleFaults = listSingleFaults(fault === Fault.KillSidecar ? ALL_PROCESSES : [0]).filter(singleFault => singleFault.fault === fault)
      const violations = singleFaults.flatMap(singleFault => findViolationsUnder([singleFault]).map(violation => `at ${singleFault.at}: ${violation}`))
      expect(violations).toEqual([])
    })
  }
})
