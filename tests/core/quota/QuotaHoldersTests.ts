import { expect } from 'earl'
import { AgeClock, ManualClock, type Moment } from '../../../src/core/clock/index.js'
import type { Peer } from '../../../src/core/peer/index.js'
import { INITIAL_SPREAD_MS, INITIAL_START_MS, LIST_SPREAD_MS, MARGIN_MS, MAX_LIST_AGE_MS, QuotaHolders } from '../../../src/core/quota/index.js'

const REGIONS = { a: 'north', b: 'north', c: 'south', d: 'south' }
const PEERS = ['a', 'b', 'c', 'd'].flatMap(domain => [1, 2, 3].map(at => toPeer(`${domain}${at}`)))
const NAMES = Array.from({ length: 50 }, (_, at) => `shop-${at}`)
const REGISTERED_AT = 1_000_000

describe('QuotaHolders', () => {
  let clock: ManualClock
  let wallClock: ManualClock
  beforeEach(() => {
    clock = new ManualClock(50_000)
    wallClock = new ManualClock(7_000)
  })

  const mark = (): Moment => ({ at: clock.now(), wallAt: wallClock.now() })
  const advance = (ms: number): void => {
    clock.advanceTo(clock.now() + ms)
    wallClock.advanceTo(wallClock.now() + ms)
  }
  const create = (localId: string, peers: readonly Peer[] = PEERS, storeTime = 0): QuotaHolders => {
    const holders = new QuotaHolders({ clock, ages: new AgeClock(clock, wallClock), localId, localDomain: localId[0]!, regions: REGIONS })
    holders.setPeers(peers, mark(), storeTime)
    return holders
  }
  const getLenders = (peers: readonly Peer[], storeTime: number): string[] => {
    return peers.map(({ id }) => id).filter(id => create(id, peers, storeTime).getLocalShare('shop-1') !== undefined)
  }

  it('should choose the same four gateways everywhere, two in each region, and ask the nearest first', () => {
    const first = create('a1')
    const other = create('d2', [...PEERS].reverse())
    for (const name of NAMES) {
      const ids = first.getHolders(name)
      expect([...ids].sort()).toEqual([...other.getHolders(name)].sort())
      expect(ids.map(id => REGIONS[id[0] as 'a'])).toEqual(['north', 'north', 'south', 'south'])
      if (ids.includes('a1')) expect(ids[0]).toEqual('a1')
    }
  })

  it('should let the holders and no others lend, each an equal share, which is larger with few gateways', () => {
    expect(getLenders(PEERS, 0).length).toEqual(4)
    expect(create('a1', [toPeer('a1'), toPeer('c1')]).getLocalShare('shop')!.share).toEqual(1 / 2)
    expect(create('a1', [toPeer('a1')]).getLocalShare('shop')!.share).toEqual(1)
    expect(create('a1', []).getLocalShare('shop')).toEqual(undefined)
  })

  // A new gateway and the one that it replaces held the same share while some gateways had the earlier list.
  it('should never let more than four gateways lend while one is added, and fewer just around the change', () => {
    for (const id of ['a9', 'b8', 'c7', 'd6']) {
      const added = { ...toPeer(id), firstSeenAt: REGISTERED_AT }
      const changeAt = REGISTERED_AT + LIST_SPREAD_MS
      const before = getLenders(PEERS, REGISTERED_AT)
      for (const time of [REGISTERED_AT, changeAt - MARGIN_MS - 1]) expect(getLenders([...PEERS, added], time)).toEqual(before)
      const around = getLenders([...PEERS, added], changeAt)
      expect(around.every(lender => before.includes(lender))).toEqual(true)
      const after = getLenders([...PEERS, added], changeAt + MARGIN_MS)
      expect(after.length).toEqual(4)
      expect(around).toEqual(before.filter(lender => after.includes(lender)))
    }
  })

  it('should count gateways soon that start together for the first time, and read the list often meanwhile', () => {
    const peers = PEERS.map((peer, at) => ({ ...peer, firstSeenAt: REGISTERED_AT + 10 * at }))
    const holders = create('a1', peers, REGISTERED_AT + 200)
    expect([holders.getHolders('shop'), holders.getReadDelayMs()]).toEqual([[], 300])
    advance(INITIAL_SPREAD_MS)
    expect(holders.getHolders('shop').length).toEqual(4)
    advance(INITIAL_START_MS)
    expect(holders.getReadDelayMs()).toEqual(300)
    const undated = { ...toPeer('a9'), firstSeenAt: Infinity }
    holders.setPeers([...peers, undated], mark(), REGISTERED_AT + 200 + INITIAL_SPREAD_MS + INITIAL_START_MS)
    expect(holders.getReadDelayMs()).toEqual(10_000)
  })

  // A gateway that lost the store while the others registered went on lending by the few that it knew, and the bound was exceeded.
  it('should not lend by a list from the first start of the gateways that could not be read again', () => {
    const peers = [{ ...toPeer('a1'), firstSeenAt: REGISTERED_AT }]
    const holders = create('a1', peers, REGISTERED_AT + INITIAL_SPREAD_MS + MARGIN_MS)
    expect(holders.getLocalShare('shop')?.share).toEqual(1)
    advance(INITIAL_SPREAD_MS + 1)
    holders.recordFailure(mark())
    expect(holders.getLocalShare('shop')).toEqual(undefined)
  })

  // A gateway that was frozen went on lending a share that another one had taken over meanwhile.
  it('should not lend by an old list, unless a read has failed since, also if the steady clock stood still', () => {
    const id = create('a1').getHolders('shop')[0]!
    const holders = create(id)
    wallClock.advanceTo(wallClock.now() + MAX_LIST_AGE_MS + 1)
    expect(holders.getLocalShare('shop')).toEqual(undefined)
    holders.recordFailure(mark())
    expect(holders.getLocalShare('shop')?.share).toEqual(1 / 4)
    advance(MAX_LIST_AGE_MS)
    expect(holders.getLocalShare('shop')).toEqual(undefined)
  })

  it('should not learn the time of the store from a read that took long', () => {
    const holders = new QuotaHolders({ clock, ages: new AgeClock(clock, wallClock), localId: 'a1', localDomain: 'a', regions: REGIONS })
    const startedAt = mark()
    advance(2_000)
    holders.setPeers(PEERS, startedAt, 0)
    expect([holders.getHolders('shop'), holders.getReadDelayMs()]).toEqual([[], 300])
  })
})

function toPeer (id: string): Peer {
  return { id, address: `${id}:1`, failureDomain: id[0]! }
}
