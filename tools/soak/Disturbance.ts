import type { Random } from '../measure/Random.js'
import type { SoakWorld } from './SoakWorld.js'

/** Options of a {@link Disturbance}. */
export interface DisturbanceOptions {
  readonly world: SoakWorld
  /** Draws what the seed of the plan's entry decides. */
  readonly random: Random
}

/** Something that happens to gateways, targets or callers for some seconds, with callers of its own that meet it. */
export abstract class Disturbance {
  protected readonly _world: SoakWorld
  protected readonly _random: Random

  constructor ({ world, random }: DisturbanceOptions) {
    this._world = world
    this._random = random
  }

  /** Plays it to its end. */
  abstract play (): Promise<void>

  protected _pick<T> (values: readonly T[]): T {
    return values[this._random.int(0, values.length - 1)]!
  }
}
