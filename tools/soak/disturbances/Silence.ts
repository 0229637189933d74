import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import { createStreamResponder } from '../responders.js'
import { getEvents } from '../SoakCallers.js'

const CALLERS = 4
const EVENTS = 6
const EVENT_GAP_MS = 40

/** Milliseconds for which a sound target falls silent. */
const SILENCE_MS = { from: 1_000, to: 2_000 }

/** Time that callers allow for their streams; it covers the silence. */
const TIMEOUT_MS = 3_200

const PATHS = ['/turns/single/silent', '/turns/kept/silent', '/turns/resumable/silent'] as const

/** Lets sound targets fall silent in the middle of streams, and go on. */
export class Silence extends Disturbance {
  async play (): Promise<void> {
    const silenceMs = this._random.int(SILENCE_MS.from, SILENCE_MS.to)
    const respond = createStreamResponder({ events: EVENTS, gapMs: EVENT_GAP_MS, silenceMs })
    for (const engine of this._world.fixture.engines) for (const path of PATHS) engine.responders.set(`${path}-${silenceMs}`, respond)
    await Promise.all(Array.from({ length: CALLERS }, async (_, at) => {
      await sleep(at * EVENT_GAP_MS)
      await this._read(`${PATHS[at % PATHS.length]}-${silenceMs}`)
    }))
  }

  private async _read (path: string): Promise<void> {
    const id = this._world.createId('silent')
    const headers = { 'x-timeout-ms': String(TIMEOUT_MS), 'x-program-id': id, 'x-token-budget': '1000', 'x-token-usage': '10,50' }
    const response = await this._world.send({ id, path, body: id, headers })
    const events = getEvents(response.body)
    this._world.checks.check('order', !response.isComplete || response.status !== 200 || events.length === EVENTS, () =>
      `${id} on ${path} ended as complete after ${events.length} of ${EVENTS} events`)
  }
}
