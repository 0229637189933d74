import { expect } from 'earl'
import { ManualClock } from '../../../src/core/clock/index.js'
import { LenderRanking, LIST_SPREAD_MS, PARTIAL_SHARE } from '../../../src/core/limits/index.js'
import type { Peer } from '../../../src/core/peer/index.js'

const REGIONS = { a: 'north', b: 'north', c: 'south' }
const PEERS: Peer[] = ['a', 'b', 'c'].flatMap(failureDomain => [1, 2, 3].map(at => toPeer(`${failureDomain}${at}`, failureDomain)))
const TARGETS = Array.from({ length: 40 }, (_, at) => ({ key: `target-${at}@1`, failureDomain: 'b' }))

describe('LenderRanking', () => {
  let clock: ManualClock
  beforeEach(() => { clock = new ManualClock(0) })

  const create = (localId: string, peers = PEERS, isLocalNew = false): LenderRanking => {
    const ranking = new LenderRanking({ clock, localId, regions: REGIONS })
    ranking.setPeers(peers, isLocalNew)
    return ranking
  }

  it('should choose the same two gateways of the failure domain of the target everywhere', () => {
    const first = create('a1')
    const second = create('c3', [...PEERS].reverse())
    for (const target of TARGETS) {
      expect(first.getLenders(target)).toEqual(second.getLenders(target))
      expect(first.getLenders(target).every(id => id.startsWith('b'))).toEqual(true)
    }
    expect(new Set(TARGETS.map(target => first.getLenders(target)[0])).size).toEqual(3)
  })

  it('should choose gateways of the region, and then of others, for a domain without gateways', () => {
    const ranking = create('a1', PEERS.filter(peer => peer.failureDomain !== 'b'))
    for (const target of TARGETS) expect(ranking.getLenders(target).every(id => id.startsWith('a'))).toEqual(true)
  })

  it('should give the first lender the whole limit, the second one half and others nothing', () => {
    for (const target of TARGETS) {
      const [first, second] = create('a1').getLenders(target) as [string, string]
      expect(create(first).getLocalShare(target)).toEqual(1)
      expect(create(second).getLocalShare(target)).toEqual(PARTIAL_SHARE)
      expect(create('a1').getLocalShare(target)).toEqual(0)
    }
  })

  // Two gateways lent the whole limit while some still had the list from before a machine was added.
  it('should lend half the limit for a target that came with a change of the list, until all have read it', () => {
    const added = toPeer('b4', 'b')
    const ranking = create('b4', [...PEERS, added], true)
    const taken = TARGETS.filter(target => ranking.getLenders(target)[0] === 'b4')
    expect(taken.length > 0).toEqual(true)
    for (const target of taken) expect(ranking.getLocalShare(target)).toEqual(PARTIAL_SHARE)
    clock.advanceTo(LIST_SPREAD_MS)
    for (const target of taken) expect(ranking.getLocalShare(target)).toEqual(1)
  })

  it('should go on lending the whole limit for targets that a change of the list does not move', () => {
    const ranking = create('b1')
    const own = TARGETS.filter(target => ranking.getLocalShare(target) === 1)
    ranking.setPeers([...PEERS, toPeer('b4', 'b')])
    const kept = own.filter(target => ranking.getLenders(target)[0] === 'b1')
    expect(kept.length > 0).toEqual(true)
    for (const target of kept) expect(ranking.getLocalShare(target)).toEqual(1)
  })
})

function toPeer (id: string, failureDomain: string): Peer {
  return { id, address: `${id}:1`, failureDomain }
}
