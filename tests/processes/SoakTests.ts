import { expect } from 'earl'
import type { PromiseName } from '../../tools/soak/Promises.js'
import { Soak } from '../../tools/soak/Soak.js'
import { planSoak, SIMPLE_FAULTS, SoakFaultName } from '../../tools/soak/SoakPlan.js'
import { SOAK_REGRESSIONS } from '../../tools/soak/SoakRegressions.js'

/** Milliseconds of one short run; `npm run soak` runs longer ones. */
const DURATION_MS = 10_000

/** Promises that simple faults check; those of disturbances are checked by runs that play these. */
const CHECKED: readonly PromiseName[] = [
  'once', 'notRun', 'whole', 'order', 'version', 'history', 'kept', 'budget', 'answered', 'ended', 'leaving', 'alive', 'memory'
]

describe('soak', function () {
  this.timeout(120_000)

  for (const seed of [1, 2]) {
    it(`should keep every promise under the simple faults of seed ${seed}`, async () => {
      const soak = new Soak({ seed, durationMs: DURATION_MS, only: SIMPLE_FAULTS })
      expect(await soak.run()).toEqual([])
      expect(CHECKED.filter(name => soak.checks.getChecked(name) === 0)).toEqual([])
    })
  }

  it('should keep every promise under all faults of seed 3', async () => {
    expect(await new Soak({ seed: 3, durationMs: DURATION_MS }).run()).toEqual([])
  })

  for (const { seed, seconds, only, cause } of SOAK_REGRESSIONS) {
    it(`should keep every promise under ${only.join(', ')} of seed ${seed}: ${cause}`, async () => {
      expect(await new Soak({ seed, durationMs: 1_000 * seconds, only }).run()).toEqual([])
    })
  }

  it('should plan the same faults for the same seed', () => {
    const options = { seed: 7, durationMs: 30_000, gateways: 3, targets: 9 }
    expect(planSoak(options)).toEqual(planSoak(options))
    expect(planSoak({ ...options, seed: 8 }).length === 0).toEqual(false)
    const types = planSoak({ ...options, durationMs: 600_000 }).map(fault => fault.type)
    expect(new Set(types).size).toEqual(Object.values(SoakFaultName).length)
  })
})
