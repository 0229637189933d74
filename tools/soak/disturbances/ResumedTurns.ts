import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import { createStreamResponder } from '../responders.js'
import { getEvents } from '../SoakCallers.js'

const EVENTS = 10
const EVENT_GAP_MS = 100

/** Events after which the gateway of a turn is killed. */
const EVENTS_BEFORE_KILL = 4

const TRIES = 4
const RETRY_MS = 300

const PATH = '/turns/both/resumed'

/** Kills a gateway that relays a kept turn, takes the turn up at another one, and goes on from it. */
export class ResumedTurns extends Disturbance {
  async play (): Promise<void> {
    const slot = this._world.pickSlot(this._random)
    if (slot === undefined) return
    const respond = createStreamResponder({ events: EVENTS, gapMs: EVENT_GAP_MS })
    for (const engine of this._world.fixture.engines) engine.responders.set(PATH, respond)
    const program = this._world.createId('resumed')
    const headers = { 'x-program-id': program, 'x-token-budget': '3000', 'x-token-usage': '10,100' }
    let killing: Promise<void> | undefined
    let text = ''
    const onData = (chunk: string): void => {
      text += chunk
      if (getEvents(text).length >= EVENTS_BEFORE_KILL) killing ??= this._world.replace(slot, 'SIGKILL')
    }
    await this._world.send({ id: program, path: PATH, body: program, headers, slot, onData })
    let last = program
    for (let tries = 0; tries < TRIES && getEvents(text).length < EVENTS; tries++) {
      await sleep(RETRY_MS)
      last = this._world.createId('resumed')
      const resume = { 'last-event-id': String(getEvents(text).length), resumes: program }
      const call = { id: last, path: PATH, body: program, headers: { ...headers, ...resume } }
      const next = await this._world.send({ ...call, slot: this._world.pickSlot(this._random, slot) })
      if (next.status === 200) text += next.body
    }
    const events = getEvents(text)
    if (events.length === EVENTS) await this._goOn(program, last, headers, events)
    await killing
  }

  /** Sends the next turn and checks the history that its target receives. */
  private async _goOn (program: string, last: string, headers: Record<string, string>, events: readonly string[]): Promise<void> {
    const id = this._world.createId('resumed')
    const response = await this._world.send({ id, path: PATH, body: 'next', headers: { ...headers, 'x-previous-turn': last } })
    // A turn that was broken off is none.
    if (response.status === 404) return
    const expected = `${program}${events.map(event => `${event.slice(event.indexOf(' ') + 1)}\n`).join('')}next`
    for (const run of this._world.getRuns(id)) {
      this._world.checks.check('history', run.body === expected, () =>
        `${id} after ${last} ran with ${JSON.stringify(run.body)} instead of ${JSON.stringify(expected)}`)
    }
  }
}
