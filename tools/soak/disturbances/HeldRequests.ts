import { setTimeout as sleep } from 'node:timers/promises'
import type { EngineResponder, EngineStandin } from '../../platform/EngineStandin.js'
import { Disturbance } from '../Disturbance.js'
import { getResponseHeaders } from '../responders.js'
import { CONTACT_MS } from '../TroubleLog.js'

/** Times that the request is held, and tries for it. */
const HOLDS = 3
const HELD_TRIES = 8

/** Tries after that, of which one is served, and the milliseconds between two. */
const TRIES = 6
const RETRY_MS = 200

/** Time that the caller allows, in milliseconds. */
const TIMEOUT_MS = 800

/** Milliseconds after which the row of a target expires, and for which one is away. */
const EXPIRY_MS = 1_500
const AWAY_MS = 2_500

/** Sends a request that targets hold past its time, without ending because of it: slow ones, ones that stand still, and ones that leave. */
export class HeldRequests extends Disturbance {
  async play (): Promise<void> {
    const path = `/lookup/held-${this._random.int(0, 1_000_000)}`
    const act = this._pick([this._goOn, this._freeze, this._expire, this._leave])
    const acts: Array<Promise<void>> = []
    const respond: EngineResponder = (run, res, desk) => {
      if (acts.length < HOLDS) {
        run.isBroken = true
        acts.push(act(desk))
      } else res.writeHead(200, getResponseHeaders(run)).end(`answer to ${run.url}`)
    }
    for (const desk of this._world.fixture.desks) desk.responders.set(path, respond)
    for (let at = 0; at < HELD_TRIES && acts.length < HOLDS; at++) await this._try(path)
    // A late copy of an attempt may still be held.
    while (acts.length < HOLDS) acts.push(Promise.resolve())
    await Promise.all(acts)
    await sleep(CONTACT_MS + RETRY_MS)
    const tries: Array<boolean | undefined> = []
    while (tries.length < TRIES && tries.at(-1) !== true) tries.push(await this._try(path))
    if (tries.includes(undefined)) return
    this._world.checks.check('served', tries.includes(true), () => `${path} reached no target in ${TRIES} tries after targets had held it`)
  }

  /** Sends the request; returns whether it reached a target, or undefined if something excuses that it did not. */
  private async _try (path: string): Promise<boolean | undefined> {
    const slot = this._world.pickSlot(this._random)
    if (slot === undefined) return undefined
    const id = this._world.createId('held')
    const sentAt = performance.now()
    await this._world.send({ id, path, slot, headers: { 'x-timeout-ms': String(TIMEOUT_MS) } })
    await sleep(RETRY_MS)
    if (this._world.getRuns(id).length > 0) return true
    const isCalm = this._world.trouble.isCalm(slot.index, sentAt) && this._world.wereTargetsUp(sentAt - CONTACT_MS)
    return isCalm ? false : undefined
  }

  private readonly _goOn = async (): Promise<void> => {}

  private readonly _freeze = async (desk: EngineStandin): Promise<void> => {
    const thawed = desk.freeze(AWAY_MS)
    await this._expire(desk)
    await thawed
  }

  /** Removes the row of a target that lives, as when it does not reach the store, and writes it again. */
  private readonly _expire = async (desk: EngineStandin): Promise<void> => {
    await sleep(EXPIRY_MS)
    // A target that another disturbance has crashed meanwhile writes no row.
    if (this._world.isDown(desk)) return
    this._world.fixture.unregister(desk)
    await sleep(AWAY_MS - EXPIRY_MS)
    if (!this._world.isDown(desk)) this._world.fixture.setState(desk, 'ready')
  }

  /** Lets a target leave unannounced, which serves on for a while, and start again. */
  private readonly _leave = async (desk: EngineStandin): Promise<void> => {
    if (this._world.isDown(desk)) return
    this._world.fixture.unregister(desk)
    await sleep(AWAY_MS)
    if (!this._world.beginDown(desk)) return
    desk.crash()
    await desk.start()
    this._world.fixture.register(desk)
    this._world.endDown(desk)
  }
}
