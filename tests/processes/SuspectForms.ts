import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { EngineStandin } from '../../tools/platform/EngineStandin.js'
import type { SuspectWorld } from './SuspectWorld.js'

/** Milliseconds of silence after which the row of a target expires. */
const EXPIRY_MS = 3_000

/** The same for a store that is slow to remove rows, or a gateway that learns of it late. */
const LONG_EXPIRY_MS = 5_500

/** Milliseconds after which another target takes the place of one that has ended. */
const DOWN_MS = 1_500

/** Milliseconds for which a target that leaves goes on serving. */
const DRAIN_MS = 2_500

/** Time that callers allow for a request that is held, in milliseconds. */
export const HELD_TIMEOUT_MS = 1_000

/** How a request that crashes targets is sent, and how a target ends that runs it. */
export interface CrashForm {
  /** Ends a target that runs the request; called once for each target. */
  readonly crash: (world: SuspectWorld, target: EngineStandin, res: ServerResponse, id: string) => Promise<void>
  readonly gateways?: number
  /** Callers that send the request at the same time. */
  readonly copies?: number
  /** True if each caller sends it again after its own answer, and does not wait for the others. */
  readonly isApart?: boolean
  /** Milliseconds after which its callers leave. */
  readonly leaveAfterMs?: number
  /** Milliseconds for which its callers wait, if they state it; less than the silence after which the end of a target is known. */
  readonly timeoutMs?: number
  /** Milliseconds after which all gateways are killed and started again, again and again. */
  readonly killEveryMs?: number
  readonly hasNewPrograms?: boolean
  /** Milliseconds for which the request comes again and again. */
  readonly forMs?: number
}

async function reset (world: SuspectWorld, target: EngineStandin): Promise<void> {
  await world.replace(target, { end: () => { target.crash() }, removedMs: EXPIRY_MS, downMs: DOWN_MS })
}

async function fallSilent (world: SuspectWorld, target: EngineStandin): Promise<void> {
  await world.replace(target, { end: () => { target.silence() }, removedMs: EXPIRY_MS, downMs: DOWN_MS })
}

/** Requests that crash targets (BUDGET), by how that looks from a gateway. */
export const CRASH_FORMS: Readonly<Record<string, CrashForm>> = {
  'are reset, for four callers at once': { crash: reset, gateways: 4, copies: 4, forMs: 45_000 },
  'are reset, for two callers at once': { crash: reset, copies: 2, forMs: 20_000 },
  'fall silent': { crash: fallSilent, forMs: 45_000 },
  'fall silent, under new programs': { crash: fallSilent, hasNewPrograms: true },
  'fall silent, for two callers at once': { crash: fallSilent, copies: 2 },
  // The forms of Part 6 of docs/design/workspaces-overload-limits.md.
  'fall silent after the callers\' time, for four callers at once': { crash: fallSilent, gateways: 4, copies: 4, isApart: true, timeoutMs: 1_500, forMs: 45_000 },
  'fall silent after the callers\' time, while all gateways are killed': { crash: fallSilent, timeoutMs: 1_500, killEveryMs: 9_000, forMs: 45_000 },
  'fall silent and start again under their ids': {
    crash: async (world, target) => {
      if (world.isDown(target)) return
      target.silence()
      await sleep(DOWN_MS)
      await world.crash([target], 0)
    }
  },
  'end 40 ms after the caller has left': {
    leaveAfterMs: 60,
    crash: async (world, target) => {
      await sleep(100)
      await reset(world, target)
    }
  },
  'fall silent 40 ms after the caller has left': {
    leaveAfterMs: 60,
    crash: async (world, target) => {
      await sleep(100)
      await fallSilent(world, target)
    }
  },
  'reset only its connection and fall silent': {
    crash: async (world, target, res) => {
      res.socket?.resetAndDestroy()
      await fallSilent(world, target)
    }
  },
  'reset only its connection, fall silent, and stay listed for longer': {
    crash: async (world, target, res) => {
      res.socket?.resetAndDestroy()
      await world.replace(target, { end: () => { target.silence() }, removedMs: LONG_EXPIRY_MS, downMs: DOWN_MS })
    }
  },
  'reset their connections one after the other': {
    crash: async (world, target) => {
      await world.replace(target, { end: async () => { await target.crashInTurn(2_000) }, removedMs: EXPIRY_MS, downMs: DOWN_MS })
    }
  },
  'answer 500 and end': {
    crash: async (world, target, res, id) => {
      res.writeHead(500, { 'x-request-id': id, 'x-response-signature': 's', 'content-length': '6' }).end('failed')
      await sleep(20)
      await reset(world, target)
    }
  }
}

/** What happens to a target that holds a request past its time, and is no crash. */
export interface HoldForm {
  readonly act: (world: SuspectWorld, target: EngineStandin) => Promise<void>
  /** True if nothing looks like a crash, so that the request is never refused. */
  readonly isNeverRefused: boolean
}

/** Targets that hold a request which crashes none (LOST). */
export const HOLD_FORMS: Readonly<Record<string, HoldForm>> = {
  'are slow': { isNeverRefused: true, act: async () => {} },
  'stand still until their rows have expired, and go on': {
    isNeverRefused: false,
    act: async (world, target) => {
      void sleep(EXPIRY_MS).then(() => { world.fixture.unregister(target) })
      await target.freeze(EXPIRY_MS + 2_000)
      world.fixture.setState(target, 'ready')
    }
  },
  'are behind a cut': { isNeverRefused: true, act: async (_world, target) => { await target.freeze(4_000) } },
  'are cut off from the store': {
    isNeverRefused: true,
    act: async (world, target) => {
      await sleep(EXPIRY_MS)
      world.fixture.unregister(target)
      await sleep(2_000)
      world.fixture.setState(target, 'ready')
    }
  },
  'are replaced later': {
    isNeverRefused: true,
    act: async (world, target) => {
      await sleep(2 * HELD_TIMEOUT_MS)
      await world.replace(target, { end: () => { target.close() }, removedMs: 0, downMs: 0 })
    }
  },
  'are started again later under their ids': {
    isNeverRefused: true,
    act: async (world, target) => {
      await sleep(2 * HELD_TIMEOUT_MS)
      await world.crash([target], 0)
    }
  },
  'leave, as their rows state': {
    isNeverRefused: true,
    act: async (world, target) => {
      world.fixture.setState(target, 'draining')
      await sleep(DRAIN_MS + 500)
      await world.replace(target, { end: () => { target.close() }, removedMs: 0, downMs: 0 })
    }
  },
  'leave unannounced': {
    isNeverRefused: true,
    act: async (world, target) => {
      await sleep(200)
      world.fixture.unregister(target)
      await sleep(DRAIN_MS + 500)
      await world.replace(target, { end: () => { target.close() }, removedMs: 0, downMs: 0 })
    }
  },
  'go down in silence with their failure domain': {
    isNeverRefused: false,
    act: async (world, target) => {
      const replace = async (neighbour: EngineStandin): Promise<void> => { await fallSilent(world, neighbour) }
      await Promise.all(world.getNeighbours(target).map(replace))
    }
  },
  'lose their rows while the store is away': {
    isNeverRefused: true,
    act: async (world, target) => {
      const { rows } = world.fixture.store
      rows.failure = 'refused'
      await sleep(1_000)
      world.fixture.unregister(target)
      await sleep(2_000)
      rows.failure = undefined
      await sleep(1_500)
      world.fixture.setState(target, 'ready')
    }
  }
}
