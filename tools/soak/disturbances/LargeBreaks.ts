import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import { breakOffLarge } from '../responders.js'
import { SHORT_TIMEOUT_MS } from '../SoakWorld.js'

const CALLERS = 4

/** Milliseconds after the time limit of a route within which its requests must have ended. */
const END_SLACK_MS = 500

const PATH = '/short/large'

/** Lets targets break off large responses to requests that may be repeated. */
export class LargeBreaks extends Disturbance {
  async play (): Promise<void> {
    for (const desk of this._world.fixture.desks) desk.responders.set(PATH, breakOffLarge)
    await Promise.all(Array.from({ length: CALLERS }, async () => { await this._read() }))
  }

  private async _read (): Promise<void> {
    const slot = this._world.pickSlot(this._random)
    if (slot === undefined) return
    const id = this._world.createId('large')
    const sentAt = performance.now()
    const abort = new AbortController()
    const sending = this._world.send({ id, path: PATH, slot, signal: abort.signal }).then(response => response.status)
    const status = await Promise.race([sending, sleep(SHORT_TIMEOUT_MS + END_SLACK_MS).then(() => 'open')])
    abort.abort()
    await sending
    if (!this._world.trouble.isCalm(slot.index, sentAt)) return
    this._world.checks.check('ended', status !== 'open', () => `${id} had not ended ${END_SLACK_MS} ms after the time limit of its route`)
  }
}
