import { expect } from 'earl'
import { ALL_PROCESSES, findViolationsUnder, listSingleFaults } from '../prove/singleFaults.js'
import { Fault } from '../world/Simulation.js'

describe('every promise, cut at every action', () => {
  for (const fault of Object.values(Fault)) {
    it(`should hold under ${fault}`, () => {
      // The scripts use a sidecar of each service, so every index is tried; entries are alike, so one index is enough.
      const singleFaults = listSingleFaults(fault === Fault.KillSidecar ? ALL_PROCESSES : [0])
        .filter(singleFault => singleFault.fault === fault)
      const violations = singleFaults
        .flatMap(singleFault => findViolationsUnder([singleFault]).map(violation => `at ${singleFault.at}: ${violation}`))
      expect(violations).toEqual([])
    })
  }
})
