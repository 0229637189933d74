import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import { DRAIN_MS } from '../SoakWorld.js'

/** Ways in which a target tells that it leaves. */
const NOTICES = ['response', 'row', 'both', 'taken-back'] as const

/** Milliseconds for which a target that leaves still serves beyond the time that gateways have. */
const SERVING_MS = { from: 1_000, to: 3_000 }

/** Lets a target leave, as it tells by its responses, by its row, or by both; some take it back. */
export class Leaving extends Disturbance {
  async play (): Promise<void> {
    const { fixture } = this._world
    const standin = this._pick(this._world.targets)
    if (standin.extraHeaders['server-leaving'] !== undefined) return
    const notice = this._pick(NOTICES)
    if (notice !== 'row') standin.extraHeaders = { 'server-leaving': '1' }
    if (notice !== 'response') {
      fixture.setState(standin, 'draining')
      this._world.setLeaving(standin, true)
    }
    await sleep(notice === 'taken-back' ? DRAIN_MS / 2 : DRAIN_MS + this._random.int(SERVING_MS.from, SERVING_MS.to))
    standin.extraHeaders = {}
    this._world.setLeaving(standin, false)
    if (notice === 'taken-back') fixture.setState(standin, 'ready')
    else fixture.register(standin)
  }
}
