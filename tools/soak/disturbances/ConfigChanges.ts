import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'

const CHANGES = 3

/** Longest time between two changes, in milliseconds. */
const MAX_GAP_MS = 1_500

/** Routes that a large configuration adds. */
const MANY_ROUTES = 350

/** Changes the configuration a few times, each field within what callers of the soak stay in. */
export class ConfigChanges extends Disturbance {
  async play (): Promise<void> {
    for (let change = 0; change < CHANGES; change++) {
      const prefix = this._world.configure({
        limits: {
          idleTimeoutMs: this._random.int(3_000, 20_000),
          headerTimeoutMs: this._random.int(700, 3_000),
          maxBodyBytes: this._random.int(32_768, 4_194_304),
          maxHeaderBytes: this._random.int(4_096, 16_384)
        },
        extraRoutes: this._random.int(0, 2) === 0 ? MANY_ROUTES : 0
      })
      await sleep(this._random.int(0, MAX_GAP_MS))
      if (change === CHANGES - 1) await this._world.checkConfig(prefix)
    }
  }
}
