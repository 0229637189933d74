import type { Peer } from './PeerRow.js'

/** Milliseconds for which a peer that failed is asked after all others. */
export const PEER_PENALTY_MS = 2_000

/** Options of {@link PeerRanking}. */
export interface PeerRankingOptions {
  readonly localId: string
  readonly localDomain: string
  /** Region by failure domain. */
  readonly regions: Readonly<Record<string, string>>
  /** Gives numbers in [0, 1), so that gateways spread over their peers. */
  readonly random: () => number
}

/**
 * Orders peers by their use as a way to the store.
 *
 * Answers a path that is cut for some machines only: the peer that helped last is asked first, then those of the own region, and those that
 * failed just now last of all.
 */
export class PeerRanking {
  private readonly _options: PeerRankingOptions
  private readonly _failedAt = new Map<string, number>()
  private _peers: readonly Peer[] = []
  private _lastRelayId = ''

  constructor (options: PeerRankingOptions) {
    this._options = options
  }

  /** Takes the peers that are known, this gateway among them or not. */
  setPeers (peers: readonly Peer[]): void {
    const { localId: localId, localDomain: localDomain, regions, random } = this._options
    const getWeight = (peer: Peer): number => random() + (regions[peer.failureDomain] === regions[localDomain] ? 0 : 1)
    const weighted = peers.filter(peer => peer.id !== localId).map(peer => ({ peer, weight: getWeight(peer) }))
    this._peers = weighted.sort((a, b) => a.weight - b.weight).map(entry => entry.peer)
  }

  /** Notes that a peer reached the store. */
  recordSuccess (id: string): void {
    this._lastRelayId = id
    this._failedAt.delete(id)
  }

  /** Notes that a peer did not. */
  recordFailure (id: string, now: number): void {
    this._failedAt.set(id, now)
  }

  /** Gets the peers to ask, the most promising first. */
  getCandidates (count: number, now: number): Peer[] {
    const getRank = (peer: Peer): number => {
      if (now - (this._failedAt.get(peer.id) ?? -Infinity) < PEER_PENALTY_MS) return 2
      return peer.id === this._lastRelayId ? 0 : 1
    }
    return [...this._peers].sort((a, b) => getRank(a) - getRank(b)).slice(0, count)
  }
}
