import type { PlatformCallResponse } from '../platform/PlatformCaller.js'
import type { SendOptions, SoakWorld } from './SoakWorld.js'

/** Milliseconds after the acknowledgement of its removal within which a key may still be accepted. */
const REMOVAL_MS = 4_000

/** Sliding window in which the requests of a workspace are counted, in milliseconds. */
const WINDOW_MS = 5_000

/** Part and number of requests by which a workspace may exceed its quota in a window, as operators grant it. */
const OVERSHOOT = 0.1
const SLACK = 20

/** Path of the route whose requests need a key. */
export const KEYED_PATH = '/keyed/'

/** A workspace of the configuration. */
export interface SoakWorkspace {
  readonly name: string
  readonly apiKeys: readonly string[]
  readonly ratePerS?: number
  readonly burst?: number
}

/** Key that a caller sent, which no configuration needs to hold, and what is known of it. */
interface HeldKey {
  readonly workspace: string
  /** Time of the store's acknowledgement of its removal. */
  removedAt: number | undefined
}

interface KeyedRequest {
  readonly key: string
  /** True if gateways could not learn of the removal of the key while the request was in progress. */
  isExcused: boolean
}

/** Workspaces of a soak with their keys and quotas, and the requests that were sent with keys. */
export class SoakWorkspaces {
  private readonly _world: SoakWorld
  private readonly _keys = new Map<string, HeldKey>()
  private readonly _requests = new Map<string, KeyedRequest>()
  private readonly _quotas = new Map<string, number>()
  private _entries: readonly SoakWorkspace[] = []

  constructor (world: SoakWorld) {
    this._world = world
  }

  /** Gets the workspaces of the newest configuration. */
  get entries (): readonly SoakWorkspace[] {
    return this._entries
  }

  /** Adds a workspace to the configuration. */
  add (workspace: SoakWorkspace): void {
    const { name, apiKeys, ratePerS, burst = 0 } = workspace
    this._entries = [...this._entries, workspace]
    this._world.configure()
    for (const key of apiKeys) this._keys.set(key, { workspace: name, removedAt: undefined })
    if (ratePerS !== undefined) this._quotas.set(name, (ratePerS * WINDOW_MS / 1_000 + burst) * (1 + OVERSHOOT) + SLACK)
  }

  /** Removes a key from the configuration. */
  removeKey (key: string): void {
    this._entries = this._entries.map(entry => ({ ...entry, apiKeys: entry.apiKeys.filter(other => other !== key) }))
    this._world.configure()
    this._keys.get(key)!.removedAt = performance.now()
  }

  /** Sends a request with a key, and checks that a key that is held is not answered with 401. */
  async send (key: string, options: Omit<SendOptions, 'path'>): Promise<PlatformCallResponse> {
    const { checks, slots, trouble } = this._world
    const request: KeyedRequest = { key, isExcused: false }
    this._requests.set(options.id, request)
    const headers = { ...options.headers, 'api-key': key }
    const response = await this._world.send({ ...options, path: `${KEYED_PATH}${options.id}`, headers })
    const held = this._keys.get(key)
    const removedAt = held?.removedAt
    if (held !== undefined && removedAt === undefined) {
      checks.check('known', response.status !== 401, () => `${options.id} got 401 with a key of ${held.workspace}`)
    }
    // While no gateway reaches the store, all serve the keys that they know.
    request.isExcused = removedAt !== undefined && !slots.some(slot => trouble.isCalm(slot.index, removedAt))
    return response
  }

  /** Checks what the targets have run, after all callers have ended. */
  checkRuns (): void {
    const { checks, targets } = this._world
    const firstRuns = new Map<string, number>()
    for (const run of targets.flatMap(standin => standin.runs)) {
      const request = this._requests.get(run.id)
      if (request === undefined) continue
      firstRuns.set(run.id, Math.min(run.at, firstRuns.get(run.id) ?? Infinity))
      const held = this._keys.get(request.key)
      const lateMs = held === undefined ? Infinity : run.at - (held.removedAt ?? Infinity)
      checks.check('key', lateMs <= REMOVAL_MS || (held !== undefined && request.isExcused), () =>
        `${run.id} ran with ${request.key}${held === undefined ? ', which was never held' : `, ${Math.round(lateMs)} ms after its removal`}`)
      const isHidden = !JSON.stringify(run.headers).includes(request.key) && !run.body.includes(request.key)
      checks.check('named', isHidden && run.headers['x-tenant'] === held?.workspace, () =>
        `${run.id} of ${held?.workspace} ran for ${String(run.headers['x-tenant'])}, key hidden: ${isHidden}`)
    }
    for (const [name, limit] of this._quotas) this._checkQuota(name, limit, firstRuns)
  }

  private _checkQuota (name: string, limit: number, firstRuns: ReadonlyMap<string, number>): void {
    const times = [...firstRuns].flatMap(([id, at]) => this._keys.get(this._requests.get(id)!.key)?.workspace === name ? [at] : [])
    times.sort((a, b) => a - b)
    let start = 0
    for (const [end, at] of times.entries()) {
      while (times[start]! <= at - WINDOW_MS) start++
      const count = end - start + 1
      this._world.checks.check('quota', count <= limit, () => `${name} ran ${count} requests of ${limit} in ${WINDOW_MS} ms`)
    }
  }
}
