import type { AgeClock, Clock, Moment } from '../clock/index.js'
import type { Peer } from '../peer/index.js'
import { getRendezvousWeight } from '../routing/RendezvousHash.js'

/** Gateways among which a quota is divided: with one of them gone, three quarters remain, which is above the usual load. */
export const MAX_HOLDERS = 4

/** Milliseconds after its registration from which a gateway counts as one of the list; twice the interval of reads of the list. */
export const LIST_SPREAD_MS = 20_000

/** Milliseconds after the first registration of all in which the gateways start for the first time; later ones count like any new one. */
export const INITIAL_START_MS = 3_000

/** Milliseconds after its registration from which a gateway counts that starts together with all others, which then read often. */
export const INITIAL_SPREAD_MS = 1_000

/** Age in milliseconds from which a list is out of date: gateways may be missing that others count soon. */
export const MAX_LIST_AGE_MS = 15_000

/** Longest duration in milliseconds of a read of the list by which the time of the store is known to within {@link MARGIN_MS}. */
export const MAX_READ_MS = 400

/** Milliseconds before and after a change of the list in which only gateways lend that hold a share before and after it. */
export const MARGIN_MS = MAX_READ_MS / 2

/** Milliseconds for which a failed read of the list shows that this gateway does not reach the store. */
const FAILURE_TTL_MS = 5_000

/** Milliseconds between two reads of the list; it changes when machines are added, not with requests. */
const READ_DELAY_MS = 10_000

/** Milliseconds between two reads while the gateways start for the first time, within which they count. */
const UNSETTLED_READ_DELAY_MS = 300

/** Milliseconds until the list is read again after a read that took too long; a store that is slow gets few of them. */
const FAILED_READ_DELAY_MS = 2_000

/** Number of the latest changes of the list that are searched for the time since when a share is held. */
const CHANGES_BACK = 3

/** Number of cached rankings above which all are removed. */
const MAX_CACHED = 5_000

/** Options of {@link QuotaHolders}. */
export interface QuotaHoldersOptions {
  readonly clock: Clock
  readonly ages: AgeClock
  readonly localId: string
  readonly localDomain: string
  /** Region by failure domain. */
  readonly regions: Readonly<Record<string, string>>
}

/** The share of a workspace's quota that a gateway lends. */
export interface LocalShare {
  /** Share of rate and burst, at most 1. */
  readonly share: number
  /** Time by the steady clock since when the gateway holds the share, as far as the latest changes of the list tell. */
  readonly heldSince: number
  /** True if another gateway may have held the share before for long enough to lend tokens in advance. */
  readonly hadOtherHolder: boolean
}

/**
 * Determines which gateways hold the shares of a workspace's quota, without messages: by rendezvous hashing over the list of gateways.
 *
 * A registered gateway counts from a time of the store's clock on at which all others know it, so that all change their ranking together.
 */
export class QuotaHolders {
  private readonly _options: QuotaHoldersOptions
  private _peers: readonly Peer[] = []
  private _list = ''
  /** Time of the store's clock from which each gateway counts, by id. */
  private _countedFrom: ReadonlyMap<string, number> = new Map()
  /** Time of the store's clock until which gateways start for the first time. */
  private _initialStartUntil = -Infinity
  /** Times of the store's clock from which further gateways count, in ascending order. */
  private _changes: readonly number[] = []
  /** Milliseconds to be added to the steady clock for the clock of the store; 0 for a store that states no time. */
  private _offsetMs = 0
  private _readAt: Moment | undefined
  private _failedAt: Moment | undefined
  private readonly _cache = new Map<string, readonly Peer[]>()

  constructor (options: QuotaHoldersOptions) {
    this._options = options
  }

  /**
   * Sets the list of gateways, the local one included.
   *
   * @param startedAt - When the read of the list began.
   * @param storeTime - Time of the store's clock that the read states; undefined for a store without one.
   */
  setPeers (peers: readonly Peer[], startedAt: Moment, storeTime: number | undefined): void {
    const { clock, ages } = this._options
    if (ages.getAgeMs(startedAt) > MAX_READ_MS) {
      this.recordFailure(startedAt)
      return
    }
    this._offsetMs = storeTime === undefined ? 0 : storeTime - (startedAt.at + clock.now()) / 2
    this._readAt = startedAt
    this._failedAt = undefined
    const list = JSON.stringify(peers.map(({ id, failureDomain, firstSeenAt }) => [id, failureDomain, String(firstSeenAt)]))
    if (list === this._list) return
    this._list = list
    this._peers = peers
    const firstSeen = Math.min(...peers.map(peer => peer.firstSeenAt ?? -Infinity))
    this._initialStartUntil = firstSeen + INITIAL_START_MS + INITIAL_SPREAD_MS
    this._countedFrom = new Map(peers.map(peer => [peer.id, getCountedFrom(peer, firstSeen)]))
    this._changes = [...new Set(this._countedFrom.values())].sort((a, b) => a - b)
    this._cache.clear()
  }

  /** Records that a read of the list has failed which began at `startedAt`. */
  recordFailure (startedAt: Moment): void {
    this._failedAt = startedAt
  }

  /** Gets the milliseconds after which the list must be read again: soon if none was read in time, or since the first start of all. */
  getReadDelayMs (): number {
    if (this._readAt === undefined || this._isUnsettled(this._readAt)) return UNSETTLED_READ_DELAY_MS
    return this._failedAt === undefined ? READ_DELAY_MS : FAILED_READ_DELAY_MS
  }

  /** Gets the ids of the gateways to borrow from, in the order in which the local one asks them: itself, then the nearest. */
  getHolders (workspace: string): readonly string[] {
    const { localId, localDomain, regions } = this._options
    const getDistance = (peer: Peer): number => {
      if (peer.id === localId) return 0
      if (peer.failureDomain === localDomain) return 1
      return regions[peer.failureDomain] === regions[localDomain] ? 2 : 3
    }
    // Gateways at the same distance are asked in another order by each borrower.
    const getRank = (peer: Peer): number => getDistance(peer) - getRendezvousWeight(`${localId}/${workspace}`, peer.id)
    return [...this._getHolders(workspace, this._getStoreTime())].sort((a, b) => getRank(a) - getRank(b)).map(({ id }) => id)
  }

  /** Gets what the local gateway lends of a workspace's quota; undefined if it holds no share, or may be the only one that thinks so. */
  getLocalShare (workspace: string): LocalShare | undefined {
    if (!this._isListValid()) return undefined
    const { localId } = this._options
    const time = this._getStoreTime()
    const lists = [time - MARGIN_MS, time + MARGIN_MS].map(at => this._getHolders(workspace, at))
    if (!lists.every(holders => holders.some(({ id }) => id === localId))) return undefined
    const heldSince = this._getHeldSince(workspace, time)
    const share = 1 / Math.max(...lists.map(holders => holders.length))
    return { share, heldSince: heldSince - this._offsetMs, hadOtherHolder: heldSince > this._initialStartUntil }
  }

  /** Gets the time of the store's clock since when the local gateway holds a share that it holds at `time`. */
  private _getHeldSince (workspace: string, time: number): number {
    const { localId } = this._options
    const changes = this._changes.filter(at => at <= time).slice(-CHANGES_BACK)
    const lostAt = changes.findLastIndex(at => !this._getHolders(workspace, at).some(({ id }) => id === localId))
    return changes[lostAt + 1] ?? time
  }

  /** Without the store, no gateway registers; a gateway that was frozen may have missed some until its next read. */
  private _isListValid (): boolean {
    if (this._readAt === undefined) return false
    const { ages } = this._options
    if (this._isUnsettled(this._readAt)) return ages.getAgeMs(this._readAt) <= INITIAL_SPREAD_MS
    if (ages.getAgeMs(this._readAt) <= MAX_LIST_AGE_MS) return true
    return this._failedAt !== undefined && ages.getAgeMs(this._failedAt) <= FAILURE_TTL_MS
  }

  /** Checks whether gateways may be missing in a list that start together with all others. */
  private _isUnsettled (readAt: Moment): boolean {
    return readAt.at + this._offsetMs < this._initialStartUntil
  }

  private _getStoreTime (): number {
    return this._options.clock.now() + this._offsetMs
  }

  private _getHolders (workspace: string, storeTime: number): readonly Peer[] {
    const epoch = this._changes.findLastIndex(at => at <= storeTime)
    const key = `${epoch}/${workspace}`
    const cached = this._cache.get(key)
    if (cached !== undefined) return cached
    if (this._cache.size > MAX_CACHED) this._cache.clear()
    const holders = this._rank(workspace, this._peers.filter(({ id }) => this._countedFrom.get(id)! <= storeTime)).slice(0, MAX_HOLDERS)
    this._cache.set(key, holders)
    return holders
  }

  /** Ranks the gateways by their weight in their region first, so that the regions hold equal numbers of shares. */
  private _rank (workspace: string, peers: readonly Peer[]): Peer[] {
    const { regions } = this._options
    const weighed = peers.map(peer => ({ peer, weight: getRendezvousWeight(workspace, peer.id) })).sort((a, b) => b.weight - a.weight)
    const counts = new Map<string | undefined, number>()
    const ranked = weighed.map(({ peer, weight }) => {
      const region = regions[peer.failureDomain]
      const place = counts.get(region) ?? 0
      counts.set(region, place + 1)
      return { peer, rank: place - weight }
    })
    return ranked.sort((a, b) => a.rank - b.rank).map(({ peer }) => peer)
  }
}

/** Gets the time of the store's clock from which a gateway counts, by the time of the first registration of all. */
function getCountedFrom ({ firstSeenAt = -Infinity }: Peer, firstOfAll: number): number {
  return firstSeenAt + (firstSeenAt <= firstOfAll + INITIAL_START_MS ? INITIAL_SPREAD_MS : LIST_SPREAD_MS)
}
