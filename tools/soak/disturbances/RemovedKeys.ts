import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import type { GatewaySlot } from '../SoakWorld.js'

/** Milliseconds from the first requests to the removal of a key, and from there to the last requests. */
const BEFORE_REMOVAL_MS = 800
const AFTER_REMOVAL_MS = 6_500

/** Milliseconds for which a gateway does not learn of the removal; longer than a removed key may be accepted. */
const OUT_OF_STEP_MS = 4_300

/** Milliseconds for which the gateway does not reach the store after a pause: what it knows of the keys is older than the removal. */
const LONGER_SILENT_MS = 700

/** Milliseconds from the begin of that to the removal. */
const BEFORE_CHANGE_MS = 100

/** Time that callers allow, in milliseconds; a request that waits in a paused gateway is still awaited when the gateway goes on. */
const TIMEOUT_MS = 6_000

/** Longest time between two requests of a caller, in milliseconds. */
const MAX_GAP_MS = 80

/** Removes a key of a workspace while callers are connected, in most cases while a gateway is paused, cut off from the store, or both. */
export class RemovedKeys extends Disturbance {
  async play (): Promise<void> {
    const name = this._world.createId('workspace')
    const [removed, kept] = [`removed-key-of-${name}`, `kept-key-of-${name}`]
    this._world.workspaces.add({ name, apiKeys: [removed, kept] })
    const endsAt = performance.now() + BEFORE_REMOVAL_MS + AFTER_REMOVAL_MS
    const callers = this._world.slots.flatMap(slot =>
      [removed, removed, kept, `never-held-by-${name}`].map(async key => { await this._repeat(slot, key, endsAt) }))
    await sleep(BEFORE_REMOVAL_MS)
    const slot = this._world.pickSlot(this._random)
    const mode = this._pick(['open', 'silent', 'pause', 'both'] as const)
    const acts: Array<Promise<void>> = []
    if (slot !== undefined && (mode === 'pause' || mode === 'both')) acts.push(this._world.putOutOfStep(slot, 'pause', OUT_OF_STEP_MS))
    if (slot !== undefined && (mode === 'silent' || mode === 'both')) {
      acts.push(this._world.putOutOfStep(slot, 'silent', OUT_OF_STEP_MS + LONGER_SILENT_MS))
    }
    await sleep(BEFORE_CHANGE_MS)
    this._world.workspaces.removeKey(removed)
    await Promise.all([...callers, ...acts])
  }

  /** Sends requests on one connection. */
  private async _repeat (slot: GatewaySlot, key: string, endsAt: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (performance.now() < endsAt) {
      const id = this._world.createId('keyed')
      await this._world.workspaces.send(key, { id, slot, agent, body: id, headers: { 'x-timeout-ms': String(TIMEOUT_MS) } })
      await sleep(this._random.int(0, MAX_GAP_MS))
    }
    agent.destroy()
  }
}
