import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Draws that are thrown away, since those of neighbouring seeds begin alike. */
const WARM_UP_DRAWS = 32

/** Random numbers from a seed. */
export class Random {
  private readonly _generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this._generator = xoroshiro128plus(Math.imul(seed ^ 0x9e3779b9, 0x85ebca6b))
    for (let draw = 0; draw < WARM_UP_DRAWS; draw++) this.next()
  }

  /** Gets a number in [0, 1). */
  next (): number {
    return uniformFloat64(this._generator)
  }

  /** Gets a whole number in [from, to]. */
  int (from: number, to: number): number {
    return uniformInt(this._generator, from, to)
  }

  /** Gets a number from the exponential distribution. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.next())
  }
}
