import { expect } from 'earl'
import { decodePeer, encodePeer, getPeerKey, PEER_PENALTY_MS, PeerRanking } from '../../../src/core/peer/index.js'

describe('PeerRanking', () => {
  const peers = [
    { id: 'own', address: '10.0.0.1:1', failureDomain: 'here' },
    { id: 'far', address: '10.0.0.2:1', failureDomain: 'far' },
    { id: 'near', address: '10.0.0.3:1', failureDomain: 'near' }
  ]
  const createRanking = (): PeerRanking => {
    const ranking = new PeerRanking({ localId: 'own', localDomain: 'here', regions: { here: 'home', near: 'home', far: 'away' }, random: () => 0.5 })
    ranking.setPeers(peers)
    return ranking
  }

  it('should rank peers of the local region first and exclude the local gateway', () => {
    expect(createRanking().getCandidates(5, 0).map(peer => peer.id)).toEqual(['near', 'far'])
  })

  it('should rank the peer of the latest successful relay first and a failed one last', () => {
    const ranking = createRanking()
    ranking.recordSuccess('far')
    expect(ranking.getCandidates(1, 0)[0]!.id).toEqual('far')
    ranking.recordFailure('far', 0)
    expect(ranking.getCandidates(1, 1)[0]!.id).toEqual('near')
    expect(ranking.getCandidates(1, PEER_PENALTY_MS)[0]!.id).toEqual('far')
  })

  it('should decode a peer that was encoded as a row', () => {
    expect(decodePeer({ ...getPeerKey('near'), value: encodePeer(peers[2]!), version: 1 })).toEqual(peers[2]!)
  })
})
