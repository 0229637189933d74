import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import { createStreamResponder } from '../responders.js'
import { CONTACT_MS } from '../TroubleLog.js'

/** Turns with the same input that are in progress when targets crash. */
const TURNS = 18

const EVENTS = 10
const EVENT_GAP_MS = 120

/** Milliseconds from the first turn to the crash, so that all turns are in progress. */
const BEFORE_CRASH_MS = 500
const DOWN_MS = 2_000

/** Turns after the crash, the tries of each, and the milliseconds between two. */
const LATER_TURNS = 3
const TRIES = 6
const RETRY_MS = 200

/** Input that all turns share; the paths differ by seed. */
const COMMON_INPUT = 'continue'

/** Crashes one target, those of a failure domain, or all, while programs run turns with the same input. */
export class Crashes extends Disturbance {
  async play (): Promise<void> {
    const { engines } = this._world.fixture
    const path = `/turns/kept/common-${this._random.int(0, 1_000_000)}`
    const respond = createStreamResponder({ events: EVENTS, gapMs: EVENT_GAP_MS })
    for (const engine of engines) engine.responders.set(path, respond)
    const half = engines.length / 2
    const domain = this._random.int(0, 1) * half
    const crashed = this._pick([[this._pick(engines)], engines.slice(domain, domain + half), engines])
    const turns = Array.from({ length: TURNS }, async () => { await this._sendTurn(path) })
    await sleep(BEFORE_CRASH_MS)
    await this._world.crash(crashed, DOWN_MS)
    await Promise.all(turns)
    await sleep(CONTACT_MS + RETRY_MS)
    await Promise.all(Array.from({ length: LATER_TURNS }, async () => { await this._checkServed(path, crashed.length) }))
  }

  /** Sends a turn of a new program; returns whether it reached a target while nothing excused that it did not. */
  private async _sendTurn (path: string): Promise<boolean | undefined> {
    const slot = this._world.pickSlot(this._random)
    if (slot === undefined) return undefined
    const id = this._world.createId('common')
    const sentAt = performance.now()
    const headers = { 'x-program-id': id, 'x-token-budget': '1000', 'x-token-usage': '10,50', 'x-timeout-ms': '5000' }
    await this._world.send({ id, path, body: COMMON_INPUT, headers, slot })
    if (this._world.getRuns(id).length > 0) return true
    return this._world.trouble.isCalm(slot.index, sentAt) ? false : undefined
  }

  private async _checkServed (path: string, crashed: number): Promise<void> {
    const tries: Array<boolean | undefined> = []
    while (tries.length < TRIES && tries.at(-1) !== true) {
      tries.push(await this._sendTurn(path))
      await sleep(RETRY_MS)
    }
    if (tries.includes(undefined)) return
    this._world.checks.check('served', tries.includes(true), () => `a turn on ${path} reached no target in ${TRIES} tries after a crash of ${crashed}`)
  }
}
