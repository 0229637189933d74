import type { Peer } from './PeerRow.js'

/** Milliseconds for which a failed peer is ranked after all others. */
export const PEER_PENALTY_MS = 2_000

/** Options of {@link PeerRanking}. */
export interface PeerRankingOptions {
  readonly localId: string
  readonly localDomain: string
  /** Region by failure domain. */
  readonly regions: Readonly<Record<string, string>>
  /** Gets a random number in [0, 1), by which gateways spread their relayed calls over their peers. */
  readonly random: () => number
}

/**
 * Ranks peers as relays to the store.
 *
 * Needed when the store is reachable from some machines only. The peer of the latest successful relay comes first, then peers of the local
 * region, and peers that failed recently come last.
 */
export class PeerRanking {
  private readonly _options: PeerRankingOptions
  private readonly _failedAt = new Map<string, number>()
  private _peers: readonly Peer[] = []
  private _lastRelayId = ''

  constructor (options: PeerRankingOptions) {
    this._options = options
  }

  /** Sets the peers; this gateway is excluded if it is among them. */
  setPeers (peers: readonly Peer[]): void {
    const { localId, localDomain, regions, random } = this._options
    const getWeight = (peer: Peer): number => random() + (regions[peer.failureDomain] === regions[localDomain] ? 0 : 1)
    const weighted = peers.filter(peer => peer.id !== localId).map(peer => ({ peer, weight: getWeight(peer) }))
    this._peers = weighted.sort((a, b) => a.weight - b.weight).map(entry => entry.peer)
  }

  /** Records that a peer reached the store. */
  recordSuccess (id: string): void {
    this._lastRelayId = id
    this._failedAt.delete(id)
  }

  /** Records that a peer did not reach the store. */
  recordFailure (id: string, now: number): void {
    this._failedAt.set(id, now)
  }

  /** Gets the peers to try, in the order of their rank. */
  getCandidates (count: number, now: number): Peer[] {
    const getRank = (peer: Peer): number => {
      if (now - (this._failedAt.get(peer.id) ?? -Infinity) < PEER_PENALTY_MS) return 2
      return peer.id === this._lastRelayId ? 0 : 1
    }
    return [...this._peers].sort((a, b) => getRank(a) - getRank(b)).slice(0, count)
  }
}
