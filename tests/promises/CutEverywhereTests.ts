import { expect } from 'earl'
import { ALL_PROCESSES, findViolationsUnder, listSingleFaults } from '../prove/singleFaults.js'
import { Fault } from '../world/Simulation.js'

describe('every promise, cut at every action', () => {
  for (const fault of Object.values(Fault)) {
    // The scripts use a sidecar of each service, so every index is tried; entries are alike, so one index is enough.
    const processes = fault === Fault.KillSidecar ? ALL_PROCESSES : [0]
    for (const index of processes) {
      it(`should hold under ${fault}${processes.length > 1 ? ` of process ${index}` : ''}`, () => {
        const singleFaults = listSingleFaults([index]).filter(singleFault => singleFault.fault === fault)
        const violations = singleFaults
          .flatMap(singleFault => findViolationsUnder([singleFault]).map(violation => `at ${singleFault.at}: ${violation}`))
        expect(violations).toEqual([])
      })
    }
  }
})
