import type { Clock } from '../clock/index.js'
import type { Peer } from '../peer/index.js'
import { getRendezvousWeight } from '../routing/RendezvousHash.js'

/** Gateways that may lend permits for a target: the first one, and one that replaces it while it is not reached. */
const LENDERS_PER_TARGET = 2

/** Share of a target's limit that a gateway lends while another one may lend the whole: both stay within 1.5 times the limit. */
export const PARTIAL_SHARE = 0.5

/** Milliseconds after a change of the list of gateways for which some may still use the previous one; twice the interval of its reads. */
export const LIST_SPREAD_MS = 20_000

/** Number of cached rankings above which all are removed. */
const MAX_CACHED_RANKINGS = 5_000

/** Target whose request rate is limited. */
export interface LimitedTarget {
  /** Key of the target's incarnation. */
  readonly key: string
  readonly failureDomain: string
}

/** Options of {@link LenderRanking}. */
export interface LenderRankingOptions {
  readonly clock: Clock
  readonly localId: string
  /** Region by failure domain. */
  readonly regions: Readonly<Record<string, string>>
}

/**
 * Determines which gateways lend the permits of a target, without messages: by rendezvous hashing over the list of gateways.
 *
 * Gateways in the target's failure domain come first, then those in its region, because most of its requests come from there. A gateway
 * lends half the limit while it only replaces the first one, and while others may not know yet that it has become the first one.
 */
export class LenderRanking {
  private readonly _options: LenderRankingOptions
  private _peers: readonly Peer[] = []
  private _previousPeers: readonly Peer[] | undefined
  private _changedAt = -Infinity
  private readonly _cache = new Map<string, readonly string[]>()

  constructor (options: LenderRankingOptions) {
    this._options = options
  }

  /**
   * Sets the gateways, the local one included.
   *
   * @param isLocalNew - True if the local gateway has just been added, so that others do not have it in their list yet.
   */
  setPeers (peers: readonly Peer[], isLocalNew = false): void {
    const ids = getIds(peers)
    const hadPeers = this._peers.length > 0
    if (hadPeers && ids === getIds(this._peers)) return
    if (hadPeers || isLocalNew) {
      this._previousPeers = hadPeers ? this._peers : peers.filter(peer => peer.id !== this._options.localId)
      this._changedAt = this._options.clock.now()
    }
    this._peers = peers
    this._cache.clear()
  }

  /** Gets all gateways. */
  getPeers (): readonly Peer[] {
    return this._peers
  }

  /** Gets the ids of the gateways that lend permits for a target, the preferred one first. */
  getLenders (target: LimitedTarget): readonly string[] {
    const cached = this._cache.get(target.key)
    if (cached !== undefined) return cached
    if (this._cache.size > MAX_CACHED_RANKINGS) this._cache.clear()
    const lenders = this._rank(target, this._peers).slice(0, LENDERS_PER_TARGET)
    this._cache.set(target.key, lenders)
    return lenders
  }

  /** Gets the share of a target's limit that the local gateway may lend; 0 if others lend its permits. */
  getLocalShare (target: LimitedTarget): number {
    const { localId, clock } = this._options
    const rank = this.getLenders(target).indexOf(localId)
    if (rank < 0) return 0
    if (rank > 0) return PARTIAL_SHARE
    if (this._previousPeers === undefined || clock.now() - this._changedAt >= LIST_SPREAD_MS) return 1
    return this._rank(target, this._previousPeers)[0] === localId ? 1 : PARTIAL_SHARE
  }

  private _rank (target: LimitedTarget, peers: readonly Peer[]): string[] {
    const { regions } = this._options
    const getDistance = (peer: Peer): number => {
      if (peer.failureDomain === target.failureDomain) return 0
      return regions[peer.failureDomain] === regions[target.failureDomain] ? 1 : 2
    }
    const weighed = peers.map(peer => ({ id: peer.id, rank: getDistance(peer) - getRendezvousWeight(target.key, peer.id) }))
    return weighed.sort((a, b) => a.rank - b.rank).map(({ id }) => id)
  }
}

function getIds (peers: readonly Peer[]): string {
  return peers.map(({ id }) => id).sort().join()
}
