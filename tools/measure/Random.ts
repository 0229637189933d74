import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Initial draws that are discarded, because the sequences of adjacent seeds start with similar numbers. */
const WARM_UP_DRAWS = 32

/** Generates reproducible random numbers from a seed. */
export class Random {
  private readonly _generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this._generator = xoroshiro128plus(Math.imul(seed ^ 0x9e3779b9, 0x85ebca6b))
    for (let draw = 0; draw < WARM_UP_DRAWS; draw++) this.next()
  }

  /** Draws a number from [0, 1). */
  next (): number {
    return uniformFloat64(this._generator)
  }

  /** Draws an integer from [from, to]. */
  int (from: number, to: number): number {
    return uniformInt(this._generator, from, to)
  }

  /** Draws a number from the exponential distribution with a mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.next())
  }
}
