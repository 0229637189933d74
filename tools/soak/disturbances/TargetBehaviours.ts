import { setTimeout as sleep } from 'node:timers/promises'
import type { EngineBehaviour } from '../../platform/EngineStandin.js'
import { Disturbance, type DisturbanceOptions } from '../Disturbance.js'

/** Responses that are changed, and the longest pause between two of them, in milliseconds. */
const RESPONSES = 20
const MAX_PAUSE_MS = 150

/** Lets targets respond in given ways to the requests of all callers. */
export class TargetBehaviours extends Disturbance {
  private readonly _behaviours: readonly EngineBehaviour[]

  constructor (options: DisturbanceOptions, behaviours: readonly EngineBehaviour[]) {
    super(options)
    this._behaviours = behaviours
  }

  async play (): Promise<void> {
    for (let at = 0; at < RESPONSES; at++) {
      this._pick(this._world.targets).nextBehaviours.push(this._pick(this._behaviours))
      await sleep(this._random.int(0, MAX_PAUSE_MS))
    }
  }
}
