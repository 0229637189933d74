import { expect } from 'earl'
import { ManualClock } from '../../../src/core/clock/index.js'
import { getMaxPermitWaitMs, LenderRanking, PermitLedger, type LimitedTarget } from '../../../src/core/limits/index.js'
import type { Peer } from '../../../src/core/peer/index.js'

const STEP_MS = 10
const WINDOW_MS = 4_000
const TARGET: LimitedTarget = { key: 'engine@1', failureDomain: 'd0' }
const DOMAINS = 6
const REGIONS = Object.fromEntries(Array.from({ length: DOMAINS }, (_, at) => [`d${at}`, at % 2 === 0 ? 'north' : 'south']))

/** A gateway of the replay: its own list of gateways, its own ledger. */
interface Gateway {
  readonly id: string
  ranking: LenderRanking
  ledger: PermitLedger
  isRunning: boolean
}

/** Replays load on one limited target in virtual time: gateways borrow permits from the lenders that their own lists name. */
class Replay {
  readonly clock = new ManualClock(0)
  readonly gateways: Gateway[]
  /** Times at which requests reach the target. */
  readonly times: number[] = []
  private readonly _peers: Peer[]

  constructor (count: number) {
    this._peers = Array.from({ length: count }, (_, at) => ({ id: `g${at}`, address: `g${at}:1`, failureDomain: `d${at % DOMAINS}` }))
    this.gateways = this._peers.map(({ id }) => this._create(id, this._peers))
  }

  /** Sends requests of all gateways at a total rate, for a time. */
  run (forMs: number, requestsPerSecond: number, perSecond: number, maxWaitMs: number): void {
    const end = this.clock.now() + forMs
    let due = 0
    for (let at = 0; this.clock.now() < end; at++) {
      due += requestsPerSecond * STEP_MS / 1_000
      for (; due >= 1; due--) this._request(this.gateways[(at * 7) % this.gateways.length]!, perSecond, maxWaitMs)
      this.clock.advanceTo(this.clock.now() + STEP_MS)
    }
  }

  /** Gets a gateway by its rank among the lenders of the target. */
  getLender (rank: number): Gateway {
    const id = this.gateways[0]!.ranking.getLenders(TARGET)[rank]
    return this.gateways.find(gateway => gateway.id === id)!
  }

  /** Restarts a gateway, which loses its ledger. */
  restart (gateway: Gateway): void {
    Object.assign(gateway, { ...this._create(gateway.id, this._peers), isRunning: true })
  }

  /** Adds a gateway that becomes the first lender; the others still have the list from before. */
  addFirstLender (): Gateway {
    for (let at = 0; ; at++) {
      const added = { id: `new${at}`, address: `new${at}:1`, failureDomain: TARGET.failureDomain }
      const gateway = this._create(added.id, [...this._peers, added], true)
      if (gateway.ranking.getLenders(TARGET)[0] !== added.id) continue
      this._peers.push(added)
      this.gateways.push(gateway)
      return gateway
    }
  }

  /** Gets the largest number of requests in any window of 4 s. */
  getMostInWindow (): number {
    return Math.max(0, ...this.times.map(start => this.times.filter(time => time >= start && time < start + WINDOW_MS).length))
  }

  private _request (gateway: Gateway, perSecond: number, maxWaitMs: number): void {
    if (!gateway.isRunning) return
    for (const id of gateway.ranking.getLenders(TARGET)) {
      const lender = this.gateways.find(other => other.id === id)
      if (lender?.isRunning !== true) continue
      const share = lender.ranking.getLocalShare(TARGET)
      if (share === 0) return
      const result = lender.ledger.request({ target: TARGET.key, perSecond: perSecond * share, maxWaitMs })
      if (result.type === 'granted') this.times.push(this.clock.now() + result.waitMs)
      return
    }
  }

  private _create (id: string, peers: readonly Peer[], isNew = false): Gateway {
    const ranking = new LenderRanking({ clock: this.clock, localId: id, regions: REGIONS })
    ranking.setPeers([...peers], isNew)
    return { id, ranking, ledger: new PermitLedger(this.clock), isRunning: true }
  }
}

// The sum over all gateways stays within the bound of the rule, 1.5 times the limit and 5 requests in 4 s, at any size.
describe('permits of many gateways for one limited target', () => {
  for (const count of [8, 34, 84, 420]) {
    for (const perSecond of [1, 4, 20]) {
      const allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5

      it(`should use the limit of ${perSecond} a second and not exceed it, with ${count} gateways`, () => {
        const replay = new Replay(count)
        replay.run(20_000, perSecond * 4, perSecond, 500)
        expect(replay.getMostInWindow() <= allowed).toEqual(true)
        expect(replay.times.length >= 0.9 * perSecond * 20).toEqual(true)
      })

      it(`should stay within the bound of ${perSecond} a second through lenders that die and restart, with ${count} gateways`, () => {
        const replay = new Replay(count)
        for (const rank of [0, 1, 0, 0, 1]) {
          replay.run(1_700, perSecond * 4, perSecond, 500)
          const lender = replay.getLender(rank)
          lender.isRunning = false
          replay.run(900, perSecond * 4, perSecond, 500)
          replay.restart(lender)
        }
        replay.run(4_000, perSecond * 4, perSecond, 500)
        expect(replay.getMostInWindow() <= allowed).toEqual(true)
      })

      it(`should stay within the bound of ${perSecond} a second while lists differ about the first lender, with ${count} gateways`, () => {
        const replay = new Replay(count)
        replay.run(5_000, perSecond * 4, perSecond, 500)
        const added = replay.addFirstLender()
        // Requests that arrive at the added gateway borrow there, all others at the previous lender.
        for (let at = 0; at < 10; at++) {
          replay.run(250, perSecond * 4, perSecond, 500)
          for (let request = 0; request < perSecond; request++) {
            const share = added.ranking.getLocalShare(TARGET)
            const result = added.ledger.request({ target: TARGET.key, perSecond: perSecond * share, maxWaitMs: 0 })
            if (result.type === 'granted') replay.times.push(replay.clock.now())
          }
        }
        expect(replay.getMostInWindow() <= allowed).toEqual(true)
      })
    }
  }

  // A burst for which the targets together have no permits: programs in progress wait for theirs, new ones are refused at once.
  it('should serve the turns of programs in progress before the first turns of new ones', () => {
    const clock = new ManualClock(0)
    const ledger = new PermitLedger(clock)
    const served = { inProgress: 0, first: 0 }
    for (let at = 0; at < 400; at++) {
      const isInProgress = at % 2 === 0
      const maxWaitMs = getMaxPermitWaitMs({ isInProgress, remainingMs: 2_000 })
      const result = ledger.request({ target: TARGET.key, perSecond: 10, maxWaitMs })
      if (result.type === 'granted') served[isInProgress ? 'inProgress' : 'first']++
      clock.advanceTo(clock.now() + 50)
    }
    // 20 s at 10 a second are 200 permits, and the 200 turns in progress get nearly all of them.
    expect(served.inProgress >= 190).toEqual(true)
    expect(served.first <= 20).toEqual(true)
  })
})
