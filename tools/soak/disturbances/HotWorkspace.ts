import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'

/** Quota of each workspace, and its usual load, in requests per second; quotas are 1.6 times the usual load. */
const RATE_PER_S = 12
const USUAL_PER_S = RATE_PER_S / 1.6

/** Load of the hot workspace as a multiple of its usual load. */
const HOT_FACTOR = 7

/** Milliseconds for which both workspaces send requests; more than the window of a quota. */
const DURATION_MS = 8_000

/** Lets one workspace send seven times its usual load, beside one that stays below its quota. */
export class HotWorkspace extends Disturbance {
  async play (): Promise<void> {
    const [hot, usual] = ['hot', 'usual'].map(kind => this._world.createId(kind))
    for (const name of [hot!, usual!]) {
      this._world.workspaces.add({ name, apiKeys: [`key-of-${name}`], ratePerS: RATE_PER_S, burst: RATE_PER_S })
    }
    await Promise.all([this._load(hot!, USUAL_PER_S * HOT_FACTOR, false), this._load(usual!, USUAL_PER_S, true)])
  }

  /** Sends requests at equal intervals to random gateways. */
  private async _load (name: string, perSecond: number, isWithinQuota: boolean): Promise<void> {
    const startedAt = performance.now()
    const requests: Array<Promise<void>> = []
    for (let at = 0; at < DURATION_MS; at += 1_000 / perSecond) {
      await sleep(Math.max(0, startedAt + at - performance.now()))
      requests.push(this._send(name, isWithinQuota))
    }
    await Promise.all(requests)
  }

  private async _send (name: string, isWithinQuota: boolean): Promise<void> {
    const slot = this._world.pickSlot(this._random)
    if (slot === undefined) return
    const id = this._world.createId('quota')
    const sentAt = performance.now()
    await this._world.workspaces.send(`key-of-${name}`, { id, slot, body: id })
    if (!isWithinQuota || !this._world.areGatewaysInTouch(sentAt)) return
    const reason = this._world.getRefusalReason(id)
    this._world.checks.check('within', reason?.startsWith('quota-') !== true, () =>
      `${id} of ${name}, which stays below its quota, was refused with ${reason}`)
  }
}
