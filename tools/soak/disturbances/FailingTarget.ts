import { setTimeout as sleep } from 'node:timers/promises'
import type { EngineBehaviour } from '../../platform/EngineStandin.js'
import { Disturbance } from '../Disturbance.js'

/** Milliseconds for which the target fails, and between two looks at what it is going to do. */
const DURATION_MS = 5_000
const INTERVAL_MS = 20

/** Behaviours that are decided in advance. */
const QUEUED = 8

/** Share of its requests that the target fails. */
const SHARE = { from: 0.2, to: 0.6 }

const FAILURES: readonly EngineBehaviour[] = ['fail', 'reset', 'not-run', 'refuse-unproved', 'cut-length', 'hang']

/** Lets one target fail a part of its requests in all ways. */
export class FailingTarget extends Disturbance {
  async play (): Promise<void> {
    const { nextBehaviours } = this._pick(this._world.targets)
    const share = SHARE.from + this._random.next() * (SHARE.to - SHARE.from)
    const endsAt = performance.now() + DURATION_MS
    while (performance.now() < endsAt) {
      while (nextBehaviours.length < QUEUED) nextBehaviours.push(this._random.next() < share ? this._pick(FAILURES) : 'answer')
      await sleep(INTERVAL_MS)
    }
    nextBehaviours.length = 0
  }
}
