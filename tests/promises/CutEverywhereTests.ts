import { expect } from 'earl'
import { listCuts, play } from '../prove/cuts.js'
import { Fault } from '../world/World.js'

describe('every promise, cut at every action', () => {
  for (const fault of Object.values(Fault)) {
    it(`should hold under ${fault}`, () => {
      const cuts = listCuts([0]).filter(cut => cut.fault === fault)
      const broken = cuts.flatMap(cut => play([cut]).map(promise => `at ${cut.at}: ${promise}`))
      expect(broken).toEqual([])
    })
  }
})
