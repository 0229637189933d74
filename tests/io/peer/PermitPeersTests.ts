import { expect } from 'earl'
import { ManualClock } from '../../../src/core/clock/index.js'
import { LenderRanking, PermitLedger, type LimitedTarget } from '../../../src/core/limits/index.js'
import { RequestLimit } from '../../../src/core/target/index.js'
import { PermitPeers, type PeerCall, type PermitAnswer } from '../../../src/io/peer/index.js'

const STEP_MS = 10
const GATEWAYS = 6
const TARGET: LimitedTarget = { key: 'desk@1', failureDomain: 'here' }

/** The rule: at most 1.5 times the limit and 5 requests in any window of 4 s. */
const PER_SECOND = 20
const WINDOW_MS = 4_000
const ALLOWED = 1.5 * PER_SECOND * WINDOW_MS / 1_000 + 5

/** Requests a second for the target, and the milliseconds that each may wait for a permit: half of a time limit of 6 s. */
const DEMAND = 40
const MAX_WAIT_MS = 3_000

interface Gateway {
  readonly id: string
  permits: PermitPeers
  isRunning: boolean
}

/** Gateways that borrow permits for one target from each other, in virtual time. */
class Replay {
  readonly clock = new ManualClock(0)
  readonly gateways: Gateway[]
  /** Times of the requests that the target gets from gateways that have not been killed. */
  times: Array<{ readonly at: number, readonly gateway: string }> = []

  constructor () {
    const ids = Array.from({ length: GATEWAYS }, (_, at) => `g${at}`)
    this.gateways = ids.map(id => ({ id, permits: this._create(id, ids), isRunning: true }))
  }

  /** Sends requests of all running gateways in turn, for a time. */
  async run (forMs: number): Promise<void> {
    const end = this.clock.now() + forMs
    let due = 0
    for (let at = 0; this.clock.now() < end;) {
      due += DEMAND * STEP_MS / 1_000
      const running = this.gateways.filter(({ isRunning }) => isRunning)
      for (; due >= 1; due--) await this._request(running[at++ % running.length]!)
      this.clock.advanceTo(this.clock.now() + STEP_MS)
    }
  }

  /** Gets the gateway that lends the permits of the target in the first place. */
  getLender (): Gateway {
    const ids = this.gateways.map(({ id }) => id)
    const [first] = this._createRanking(ids[0]!, ids).getLenders(TARGET)
    return this.gateways.find(({ id }) => id === first)!
  }

  /** Kills a gateway, with the requests that wait there. */
  kill (gateway: Gateway): void {
    gateway.isRunning = false
    this.times = this.times.filter(({ at, gateway: id }) => id !== gateway.id || at <= this.clock.now())
  }

  /** Starts a gateway that was killed, which knows nothing of before. */
  restart (gateway: Gateway): void {
    gateway.permits = this._create(gateway.id, this.gateways.map(({ id }) => id))
    gateway.isRunning = true
  }

  /** Gets the largest number of requests in any window. */
  getMostInWindow (): number {
    return Math.max(...this.times.map(({ at: start }) => this.times.filter(({ at }) => at >= start && at < start + WINDOW_MS).length))
  }

  /** Gets the number of requests from a time on until now. */
  countSince (start: number): number {
    return this.times.filter(({ at }) => at >= start && at < this.clock.now()).length
  }

  private async _request (gateway: Gateway): Promise<void> {
    const limit = createLimit(this.clock.now())
    const answer: PermitAnswer = await gateway.permits.request(TARGET, limit, MAX_WAIT_MS)
    if (answer.type === 'granted') this.times.push({ at: this.clock.now() + answer.waitMs, gateway: gateway.id })
  }

  private _create (localId: string, ids: readonly string[]): PermitPeers {
    const call = async <T>(id: string, _: unknown, callPeer: PeerCall<T>): Promise<T | undefined> => {
      const peer = this.gateways.find(gateway => gateway.id === id)!
      if (!peer.isRunning) return undefined
      const procedures = { lendPermit: { mutate: async (req: Parameters<PermitPeers['lend']>[0]) => peer.permits.lend(req) } }
      return await callPeer(procedures as unknown as Parameters<typeof callPeer>[0], { signal: new AbortController().signal })
    }
    return new PermitPeers({
      pool: { call },
      clock: this.clock,
      localId,
      ranking: this._createRanking(localId, ids),
      ledger: new PermitLedger(this.clock),
      getLimit: () => createLimit(this.clock.now()),
      applyStatement: () => true
    })
  }

  private _createRanking (localId: string, ids: readonly string[]): LenderRanking {
    const ranking = new LenderRanking({ clock: this.clock, localId, regions: { here: 'home' } })
    ranking.setPeers(ids.map(id => ({ id, address: `${id}:1`, failureDomain: 'here' })))
    return ranking
  }
}

function createLimit (now: number): RequestLimit {
  const limit = new RequestLimit()
  limit.record({ perSecond: PER_SECOND, sentAt: now, statedAt: now })
  return limit
}

describe('gateways that wait for permits of a lender', () => {
  // review/10: permits of the lender that was killed, of its replacement and of its next process added up.
  for (const downMs of [100, 800, 2_000, 4_000]) {
    it(`should stay within the limit of the target while the lender is away for ${downMs} ms, and use it`, async () => {
      const replay = new Replay()
      await replay.run(12_000)
      const lender = replay.getLender()
      replay.kill(lender)
      await replay.run(downMs)
      replay.restart(lender)
      await replay.run(9_000)
      const most = replay.getMostInWindow()
      expect({ most, isAllowed: most <= ALLOWED }).toEqual({ most, isAllowed: true })
      expect(replay.countSince(replay.clock.now() - WINDOW_MS) >= 0.9 * PER_SECOND * WINDOW_MS / 1_000).toEqual(true)
    })
  }

  it('should stay within the limit of the target, and use it, while lenders are killed in a series', async () => {
    const replay = new Replay()
    await replay.run(12_000)
    for (const downMs of [800, 300, 1_500, 100, 800]) {
      const lender = replay.getLender()
      replay.kill(lender)
      await replay.run(downMs)
      replay.restart(lender)
      await replay.run(700)
    }
    await replay.run(9_000)
    const most = replay.getMostInWindow()
    expect({ most, isAllowed: most <= ALLOWED }).toEqual({ most, isAllowed: true })
    expect(replay.countSince(replay.clock.now() - WINDOW_MS) >= 0.9 * PER_SECOND * WINDOW_MS / 1_000).toEqual(true)
  })
})
