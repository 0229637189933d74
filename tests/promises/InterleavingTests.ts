import { checkInterleavings } from '../prove/interleavings.js'

const SEED = 20_261_204
const RUNS = 400

describe('every invariant, in random interleavings', () => {
  it(`should hold in ${RUNS} interleavings of seed ${SEED}`, () => {
    checkInterleavings(SEED, RUNS)
  })
})
