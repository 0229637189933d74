import { checkInterleavings } from '../prove/interleavings.js'

const SEED = 20_261_204
const RUN_COUNT = 400

describe('every invariant, in random interleavings', () => {
  it(`should hold in ${RUN_COUNT} interleavings of seed ${SEED}`, () => {
    checkInterleavings(SEED, RUN_COUNT)
  })
})
