import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { getProgramHeaders, SuspectWorld } from './SuspectWorld.js'

/** `contactMs` of the sites, in milliseconds: until then requests that crash targets may run. */
const CONTACT_MS = 4_000

/** Runs that BUDGET allows later than that after a request's third crash. */
const MAX_LATE_RUNS = 3

/** Milliseconds for which a request that crashes targets comes again and again, and between an answer and the next try. */
const POISON_MS = 20_000
const RETURN_MS = 500

/** Milliseconds after which a crashed target is back, and after which the row of one that fell silent expires. */
const DOWN_MS = 1_500
const EXPIRY_MS = 3_000

/** Milliseconds for which the store is away, and from the first try until then. */
const STORE_AWAY_MS = 4_000
const STORE_AWAY_AT_MS = 2_000

/** Requests that crash each target that runs them, by path: a lookup, a charge and two kinds of turns. */
const POISON = ['/lookup/p1', '/booking/p2', '/turns/resumable/p3', '/turns/kept/p4']

/** Requests that many callers send with the same path and body, by path. */
const POPULAR = ['/lookup/popular', '/turns/resumable/popular', '/turns/kept/popular']

/** Milliseconds between two requests of each popular path. */
const POPULAR_GAP_MS = 60

/** Share of popular requests that are served at least, of the share of requests that are sent once; and milliseconds of calm after it. */
const MIN_SERVED_SHARE = 0.9
const AFTER_MS = 2_000

/** Who sends a request that crashes targets, and what is away meanwhile. */
interface SendersForm {
  readonly addresses: number
  /** Callers that each send it again after their own answer; each try of one caller comes from the next address. */
  readonly callers?: number
  /** One program for all tries, one for each caller, or a new one each time. */
  readonly program: 'same' | 'own' | 'new'
  readonly gateways?: number
  /** True if targets fall silent instead of resetting their connections; their callers wait for a shorter time. */
  readonly isSilent?: boolean
  readonly killEveryMs?: number
  readonly isStoreAway?: boolean
}

const FORMS: Readonly<Record<string, SendersForm>> = {
  'three addresses in turn, by a new program each time': { addresses: 3, program: 'new' },
  'three addresses in turn, by one program': { addresses: 3, program: 'same' },
  'three callers at once, each by its own program': { addresses: 3, callers: 3, program: 'own', gateways: 3 },
  'four callers at once at one gateway, by a new program each time': { addresses: 4, callers: 4, program: 'new', gateways: 1 },
  'three addresses in turn, while all gateways are killed': { addresses: 3, program: 'new', killEveryMs: 7_000 },
  'three addresses in turn, while the store is away': { addresses: 3, program: 'new', isStoreAway: true },
  'three callers at once, whose targets fall silent': { addresses: 3, callers: 3, program: 'own', isSilent: true }
}

// BUDGET: a request was known by the address and the program that sent it, so that each of them brought three crashes more.
describe('gateways before requests that crash targets and come from several senders', () => {
  let world: SuspectWorld

  afterEach(async () => { await world.stop() })

  for (const [name, form] of Object.entries(FORMS)) {
    it(`should stop requests that are sent by ${name}`, async () => {
      await start(form.gateways)
      setCrashes(form.isSilent ?? false)
      const endsAt = performance.now() + POISON_MS
      await world.sendPlain(Promise.all([
        form.killEveryMs !== undefined && restartEvery(form.killEveryMs, endsAt),
        form.isStoreAway === true && takeStoreAway(),
        ...POISON.flatMap(path => Array.from({ length: form.callers ?? 1 }, async (_, caller) => {
          await sendAgain(path, caller, form, endsAt)
        }))
      ]))
      expect(getLateRuns()).toEqual([])
    }).timeout(90_000)
  }

  // LOST: the opposite. What is merely popular is at each target that something else ends.
  for (const [name, disturb] of Object.entries<() => Promise<unknown>>({
    'requests that crash targets come from several senders': async () => {
      setCrashes(false)
      await Promise.all(POISON.map(async (path, caller) => {
        await sendAgain(path, caller, { addresses: 3, program: 'new' }, performance.now() + POISON_MS / 2)
      }))
    },
    'a failure domain crashes three times, and all gateways are killed': async () => {
      for (let at = 0; at < 3; at++) {
        await world.crash(world.getDomain(at), DOWN_MS)
        if (at === 1) await world.restartGateways()
      }
    }
  })) {
    it(`should serve requests that many callers send as often as others while ${name}`, async () => {
      await start(2)
      let calmAt = Infinity
      const sent: Array<{ readonly path: string, readonly at: number, readonly status: number, readonly isOnly: boolean }> = []
      const state = { isOver: false }
      const requests: Array<Promise<unknown>> = []
      const over = sleep(AFTER_MS).then(disturb).then(async () => {
        calmAt = performance.now() + CONTACT_MS
        await sleep(CONTACT_MS + AFTER_MS)
        state.isOver = true
      })
      for (let at = 0; !state.isOver; at++) {
        for (const path of POPULAR) {
          for (const isOnly of [false, true]) {
            const url = isOnly ? `${path}-${at}` : path
            const headers = getProgramHeaders(`${path}-${at}-${String(isOnly)}`)
            const sentAt = performance.now()
            requests.push(world.send(url, 'popular', headers, { localAddress: getAddress(at) }).then(({ res }) => {
              sent.push({ path, at: sentAt, status: res.isComplete ? res.status : 0, isOnly })
            }))
          }
        }
        await sleep(POPULAR_GAP_MS)
      }
      await Promise.all([over, ...requests])
      const getShare = (isOnly: boolean): number => {
        const all = sent.filter(req => req.isOnly === isOnly)
        return all.filter(({ status }) => status === 200).length / all.length
      }
      expect(getShare(false)).toBeGreaterThanOrEqual(MIN_SERVED_SHARE * getShare(true))
      expect(sent.filter(({ at, status }) => at >= calmAt && status !== 200)).toEqual([])
    }).timeout(90_000)
  }

  async function start (gateways = 2): Promise<void> {
    world = new SuspectWorld(gateways)
    await world.start()
  }

  /** Ends each target that runs one of the requests, and starts another one in its place. */
  function setCrashes (isSilent: boolean): void {
    for (const target of world.getTargets()) {
      for (const path of POISON) {
        target.responders.set(path, (_run, _res, crashed) => {
          const end = (): void => { if (isSilent) crashed.silence(); else crashed.crash() }
          void world.replace(crashed, { end, removedMs: EXPIRY_MS, downMs: DOWN_MS })
        })
      }
    }
  }

  async function sendAgain (path: string, caller: number, { addresses, program, isSilent }: SendersForm, endsAt: number): Promise<void> {
    for (let at = 0; performance.now() < endsAt; at++) {
      const name = { same: path, own: `${path}-${caller}`, new: `${path}-${caller}-${at}` }[program]
      const headers = { ...getProgramHeaders(name), ...(isSilent === true && { 'x-timeout-ms': '1500' }) }
      await world.send(path, 'x', headers, { localAddress: getAddress((caller + at) % addresses) })
      await sleep(RETURN_MS)
    }
  }

  async function takeStoreAway (): Promise<void> {
    const { rows } = world.fixture.store
    await sleep(STORE_AWAY_AT_MS)
    rows.failure = 'refused'
    await sleep(STORE_AWAY_MS)
    rows.failure = undefined
  }

  /** Kills all gateways and starts them again, until a time. */
  async function restartEvery (everyMs: number, endsAt: number): Promise<void> {
    while (performance.now() + everyMs < endsAt) {
      await sleep(everyMs)
      await world.restartGateways()
    }
  }

  function getLateRuns (): ReadonlyArray<{ readonly path: string, readonly late: number }> {
    const late = POISON.map(path => ({ path, late: world.countLateRuns(path, CONTACT_MS) }))
    return late.filter(({ late }) => late > MAX_LATE_RUNS)
  }
})

/** Gets a loopback address of callers. */
function getAddress (index: number): string {
  return `127.0.0.${2 + index % 4}`
}
