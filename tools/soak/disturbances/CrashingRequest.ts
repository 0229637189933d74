import { setTimeout as sleep } from 'node:timers/promises'
import type { EngineResponder } from '../../platform/EngineStandin.js'
import { Disturbance } from '../Disturbance.js'
import { CONTACT_MS } from '../TroubleLog.js'

/** Crashes after which a request is known, and tries that may reach targets later. */
const KNOWN_AFTER = 3
const MAX_LATE_TRIES = 3

/** Milliseconds for which a crashed target is down, between two tries, and of all tries. */
const DOWN_MS = 600
const RETRY_MS = 400
const DURATION_MS = 12_000

/** Sends a request, with or without a body, that crashes each target that runs it, again and again. */
export class CrashingRequest extends Disturbance {
  private readonly _crashedAt: number[] = []
  private readonly _down = new Set<string>()

  async play (): Promise<void> {
    const path = `/lookup/crash-${this._random.int(0, 1_000_000)}`
    const body = this._random.int(0, 2) === 0 ? 'crash' : undefined
    for (const desk of this._world.fixture.desks) desk.responders.set(path, this._crash)
    let late = 0
    for (const startedAt = performance.now(); performance.now() - startedAt < DURATION_MS;) {
      const slot = this._world.pickSlot(this._random)
      const id = this._world.createId('crash')
      const sentAt = performance.now()
      await this._world.send({ id, path, body, slot, headers: { 'x-timeout-ms': '1500' } })
      const knownAt = this._crashedAt[KNOWN_AFTER - 1]
      const isLate = knownAt !== undefined && sentAt > knownAt + CONTACT_MS
      if (isLate && slot !== undefined && this._world.trouble.isCalm(slot.index, sentAt)) {
        if (this._world.getRuns(id).length > 0) late++
        const count = late
        this._world.checks.check('retries', count <= MAX_LATE_TRIES, () =>
          `${path} ${body ?? 'without a body'} reached targets in ${count} tries, after ${this._crashedAt.length} crashes`)
      }
      await sleep(RETRY_MS)
    }
  }

  private readonly _crash: EngineResponder = (run, _res, desk) => {
    run.isBroken = true
    this._crashedAt.push(performance.now())
    if (this._down.has(desk.id)) return
    this._down.add(desk.id)
    desk.crash()
    void sleep(DOWN_MS).then(async () => {
      await desk.start()
      this._world.fixture.register(desk)
      this._down.delete(desk.id)
    })
  }
}
