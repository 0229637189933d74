import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import { createStreamResponder } from '../responders.js'
import { getEvents } from '../SoakCallers.js'
import type { GatewaySlot } from '../SoakWorld.js'

/** Targets of the new version, and streams that begin after they have joined. */
const JOINED = 2
const STREAMS = 8
const EVENTS = 10
const EVENT_GAP_MS = 150

/** Milliseconds for which a gateway is out of step, and from its begin to the new version and to the streams. */
const OUT_OF_STEP_MS = 4_000
const BEFORE_RELEASE_MS = 300
const BEFORE_STREAMS_MS = 1_200
const RETRY_MS = 200
const TRIES = 4

/** Cuts a gateway off from the store, or pauses it, while targets of a new version join; broken streams go on at it. */
export class OutOfStep extends Disturbance {
  async play (): Promise<void> {
    const { fixture, trouble } = this._world
    const slot = this._world.pickSlot(this._random)
    const other = this._world.pickSlot(this._random, slot)
    if (slot === undefined || other === undefined) return
    const path = `/turns/resumable/release-${this._random.int(0, 1_000_000)}`
    const respond = createStreamResponder({ events: EVENTS, gapMs: EVENT_GAP_MS })
    for (const engine of fixture.engines) engine.responders.set(path, respond)
    const mode = this._pick(['silent', 'reset', 'pause'] as const)
    const outOfStep = this._world.putOutOfStep(slot, mode, OUT_OF_STEP_MS)
    await sleep(BEFORE_RELEASE_MS)
    const version = `v${this._random.int(3, 1_000_000)}`
    const joined = await Promise.all(Array.from({ length: JOINED }, async () => await this._world.addEngine(version)))
    const end = trouble.begin()
    await sleep(BEFORE_STREAMS_MS)
    const streams = Array.from({ length: STREAMS }, async () => { await this._read(path, other, slot) })
    await sleep(EVENTS * EVENT_GAP_MS / 2)
    const replacing = this._world.replace(other, 'SIGKILL')
    await Promise.all([...streams, outOfStep, replacing])
    end()
    for (const engine of joined) fixture.unregister(engine)
  }

  /** Reads a stream at one gateway, and goes on at another one when it breaks off. */
  private async _read (path: string, first: GatewaySlot, next: GatewaySlot): Promise<void> {
    const begun = this._world.createId('release')
    let { body } = await this._world.send({ id: begun, path, body: begun, slot: first })
    for (let tries = 0; tries < TRIES && getEvents(body).length > 0 && getEvents(body).length < EVENTS; tries++) {
      await sleep(RETRY_MS)
      const headers = { resumes: begun, 'last-event-id': String(getEvents(body).length) }
      const response = await this._world.send({ id: this._world.createId('release'), path, body: begun, headers, slot: next })
      if (response.status === 200) body += response.body
    }
    const versions = new Set(getEvents(body).map(event => event.split(' ')[1]))
    this._world.checks.check('version', versions.size <= 1, () => `${begun}: ${JSON.stringify(getEvents(body))}`)
  }
}
