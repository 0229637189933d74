import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { PlatformCall } from '../../platform/PlatformCaller.js'
import type { EngineResponder, EngineRun, EngineStandin } from '../../platform/EngineStandin.js'
import { Disturbance } from '../Disturbance.js'
import { CONTACT_MS } from '../TroubleLog.js'

/** Crashes after which a request is known, and tries that may reach targets later. */
const KNOWN_AFTER = 3
const MAX_LATE_TRIES = 3

/** Milliseconds for which a crashed target is down, between two tries, and of all tries. */
const DOWN_MS = 600
const RETRY_MS = 400
const DURATION_MS = 12_000

/** How a request that crashes targets is sent, and how its targets end. */
export interface CrashingForm {
  /** Callers that send it at the same time. */
  readonly copies: number
  /** Milliseconds after which its callers leave; undefined if they stay. */
  readonly leaveAfterMs: number | undefined
  /** Ends a target that runs the request, and removes its row if it is gone for long. */
  readonly end: (desk: EngineStandin, run: EngineRun, res: ServerResponse) => Promise<void>
}

/** What one try of the request sends, and from where. */
export type CrashingTry = Pick<PlatformCall, 'body' | 'headers' | 'localAddress'>

/** Sends a request, with or without a body, that crashes each target that runs it, again and again. */
export class CrashingRequest extends Disturbance {
  private readonly _crashedAt: number[] = []
  private _lateTries = 0

  async play (): Promise<void> {
    const path = `/lookup/crash-${this._random.int(0, 1_000_000)}`
    const body = this._random.int(0, 2) === 0 ? 'crash' : undefined
    const form = this._drawForm()
    const respond: EngineResponder = (run, res, desk) => { void this._crash(form, desk, run, res) }
    for (const desk of this._world.fixture.desks) desk.responders.set(path, respond)
    for (const startedAt = performance.now(); performance.now() - startedAt < DURATION_MS;) {
      await Promise.all(Array.from({ length: form.copies }, async () => { await this._try(path, body, form) }))
      await sleep(RETRY_MS)
    }
  }

  /** Draws how the request is sent and how its targets end. */
  protected _drawForm (): CrashingForm {
    return { copies: 1, leaveAfterMs: undefined, end: async desk => { desk.crash() } }
  }

  /** Gets what the next try sends. */
  protected _createTry (body: string | undefined): CrashingTry {
    return { body }
  }

  private async _try (path: string, body: string | undefined, { leaveAfterMs }: CrashingForm): Promise<void> {
    const slot = this._world.pickSlot(this._random)
    const id = this._world.createId('crash')
    const sentAt = performance.now()
    const signal = leaveAfterMs === undefined ? {} : { signal: AbortSignal.timeout(leaveAfterMs) }
    const sent = this._createTry(body)
    await this._world.send({ id, path, slot, ...sent, headers: { ...sent.headers, 'x-timeout-ms': '1500' }, ...signal })
    const knownAt = this._crashedAt[KNOWN_AFTER - 1]
    const isLate = knownAt !== undefined && sentAt > knownAt + CONTACT_MS
    if (!isLate || slot === undefined || !this._world.trouble.isCalm(slot.index, sentAt)) return
    if (this._world.getRuns(id).length > 0) this._lateTries++
    const count = this._lateTries
    this._world.checks.check('retries', count <= MAX_LATE_TRIES, () =>
      `${path} ${body ?? 'without a body'} reached targets in ${count} tries, after ${this._crashedAt.length} crashes`)
  }

  private async _crash ({ end }: CrashingForm, desk: EngineStandin, run: EngineRun, res: ServerResponse): Promise<void> {
    run.isBroken = true
    // Copies that run at one target end it once.
    if (!this._world.beginDown(desk)) return
    this._crashedAt.push(performance.now())
    await end(desk, run, res)
    await sleep(DOWN_MS)
    await desk.start()
    this._world.fixture.register(desk)
    this._world.endDown(desk)
  }
}
