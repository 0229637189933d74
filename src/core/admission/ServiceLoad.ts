import { DecayedCount } from './DecayedCount.js'

/** Half-life in milliseconds of refusals and of the acceptances that they are compared with; bursts last 5 to 6 s. */
const OUTCOME_HALF_LIFE_MS = 1_000

/** Half-life in milliseconds of the acceptances that predict the capacity; longer, for a service with few requests. */
const CAPACITY_HALF_LIFE_MS = 3_000

/** Refusals that are risked for each acceptance, so that free capacity is found soon and few requests are sent in vain. */
const REFUSALS_PER_ACCEPTANCE = 0.5

/** Refusals that are risked whatever was accepted: while all targets refuse, one or two a second show when one is free. */
const FREE_REFUSALS = 2

/** Refusals of requests that have waited which are risked in about a second, the same for each gateway whatever it has accepted. */
const MAX_FAILED_PROBES = 8

/** One in so many places that own requests leave is first left to other gateways, or those with the most places would keep them. */
const LEFT_PLACE_INTERVAL = 4

/** Milliseconds for which such a place is left to others. */
const LEFT_PLACE_MS = 20

/** Refusals by which the count may exceed what is risked, so that a burst of refusals does not keep requests waiting for long. */
const MAX_EXCESS = 1

/** Refusals below which there is no evidence of missing capacity. */
const MIN_EVIDENCE = 1

/** Milliseconds without a refusal after which a request counts as accepted: full targets refuse at once, others may take seconds. */
const REFUSAL_TIMEOUT_MS = 100

/** Milliseconds for which a target that has refused a request counts as full; doubled with each further refusal. */
export const FULL_MS = 50

/** Longest time in milliseconds for which a target counts as full; the requests of other gateways leave places without notice. */
export const MAX_FULL_MS = 200

/** Milliseconds for which a place that a request has left counts as free. */
const FREED_TTL_MS = 100

/** Milliseconds of missing capacity after which acceptances predict it; those before only show how many requests there were. */
const LEARN_MS = 300

/** Milliseconds without evidence after which what was learned of the capacity no longer counts. */
const FORGET_MS = 5_000

/** Acceptances that are added to those seen, so that few requests are refused while little is known, and waits stay finite. */
const ASSUMED_ACCEPTANCES = 2

/** Targets above which those that are no longer full are forgotten. */
const TARGETS_BEFORE_SWEEP = 500

/** A request that was admitted to a service and whose outcome is not known yet. */
export interface AdmittedRequest {
  readonly at: number
  /** True if the request had waited, and no place is known for it. */
  readonly isProbe: boolean
  /** Key of the target with a place that a request has left; undefined if none is known. */
  readonly target?: string | undefined
}

/** Place that a request of this gateway has left. */
interface FreedPlace {
  readonly target: string
  /** Time from which a waiting request may take it. */
  readonly from: number
}

interface FullTarget {
  /** Time until which the target counts as full. */
  until: number
  /** Milliseconds for which it counts as full after the next refusal. */
  nextMs: number
  /** Time of the latest refusal that was counted. */
  countedAt: number
}

/**
 * What a gateway learns of the capacity of a service from the outcomes of its own requests.
 *
 * Answers bursts beyond what targets accept: each gateway sent every request to as many targets as it might, all of them refused, and the
 * request failed although places became free within tens of milliseconds. While refusals exceed a share of acceptances, requests wait, and
 * are sent at about the rate at which targets accept them. Without refusals there is no limit.
 */
export class ServiceLoad {
  private readonly _accepted = new DecayedCount(OUTCOME_HALF_LIFE_MS)
  private readonly _refused = new DecayedCount(OUTCOME_HALF_LIFE_MS)
  private _capacity = new DecayedCount(CAPACITY_HALF_LIFE_MS)
  /** Places that no waiting request has taken yet. */
  private _freed: FreedPlace[] = []
  private _left = 0
  private _shortSince = -Infinity
  private _refusedAt = -Infinity
  private readonly _failedProbes = new DecayedCount(OUTCOME_HALF_LIFE_MS)
  private readonly _pending = new Set<AdmittedRequest>()
  private readonly _full = new Map<string, FullTarget>()

  /** Checks whether there is evidence that the targets have too little capacity. */
  isShort (now: number): boolean {
    return this._refused.get(now) >= MIN_EVIDENCE
  }

  /** Checks whether a request that has not waited may be sent now. */
  isOpen (now: number): boolean {
    this._acceptOverdue(now)
    return !this.isShort(now) || this._refused.get(now) < this._getRisk(now)
  }

  /**
   * Checks whether a request that has waited may be sent now.
   *
   * A request that has ended leaves a place, which needs no risk; beyond that, a few refusals a second are risked. With a share of the
   * acceptances instead, gateways with many places at the targets gained more and more of them.
   */
  canRelease (now: number): boolean {
    if (!this.isShort(now) || this._hasFreed(now)) return true
    this._acceptOverdue(now)
    const pending = [...this._pending].filter(({ isProbe }) => isProbe).length
    return this._failedProbes.get(now) + pending < MAX_FAILED_PROBES
  }

  /** Checks whether a target has lately refused a request as full, and has since neither accepted nor completed one. */
  isFull (target: string, now: number): boolean {
    return (this._full.get(target)?.until ?? -Infinity) > now
  }

  /** Gets the requests a second that the targets accept from this gateway, above 0; Infinity while that is not known. */
  getPerSecond (now: number): number {
    const shortMs = now - this._shortSince
    if (!this.isShort(now) || shortMs < LEARN_MS) return Infinity
    // Until the half-life has passed, the count is low for the time that it covers.
    const coverage = 1 - 0.5 ** (shortMs / CAPACITY_HALF_LIFE_MS)
    return (this._capacity.get(now) + ASSUMED_ACCEPTANCES) * Math.LN2 * 1_000 / CAPACITY_HALF_LIFE_MS / coverage
  }

  /** Records that a request may be sent that has not waited. */
  admit (now: number): AdmittedRequest {
    return this._add({ at: now, isProbe: false })
  }

  /** Records that a request may be sent that has waited; it takes a place that another has left, if there is one. */
  release (now: number): AdmittedRequest {
    const isProbe = this.isShort(now) && !this._hasFreed(now)
    const place = this._freed.find(({ from }) => from <= now)
    this._freed = this._freed.filter(other => other !== place)
    return this._add({ at: now, isProbe, target: place?.target })
  }

  /** Records that a target has accepted a request. */
  recordAccepted (req: AdmittedRequest, target: string, now: number): void {
    this._full.delete(target)
    if (this._pending.delete(req)) this._addAccepted(now)
  }

  /**
   * Records that a target has refused a request because it is full.
   *
   * @param isFurther - True if a target has refused the same request before.
   */
  recordRefused (req: AdmittedRequest, target: string, now: number, isFurther: boolean): void {
    if (!this._pending.delete(req)) {
      this._accepted.add(now, -1)
      this._capacity.add(now, -1)
    }
    if (now - this._refusedAt > FORGET_MS) {
      this._shortSince = now
      this._capacity = new DecayedCount(CAPACITY_HALF_LIFE_MS)
    }
    this._refusedAt = now
    if (req.isProbe) this._failedProbes.add(now)
    const full = this._full.get(target) ?? { until: now, nextMs: FULL_MS, countedAt: -Infinity }
    if (full.until > now) return
    // A target that refuses all requests and looks idle counts once, or it would be taken for missing capacity of the others. A request
    // that several targets have refused is evidence against them all.
    const counted = isFurther ? 0 : 0.5 ** ((now - full.countedAt) / OUTCOME_HALF_LIFE_MS)
    this._refused.add(now, 1 - counted, this._getRisk(now) + MAX_EXCESS)
    if (this._full.size > TARGETS_BEFORE_SWEEP) this._sweep(now)
    this._full.set(target, { until: now + full.nextMs, nextMs: Math.min(MAX_FULL_MS, 2 * full.nextMs), countedAt: now })
  }

  /** Records that an admitted request was not sent, or ended without telling whether there was a place for it. */
  recordUnknown (req: AdmittedRequest): void {
    this._pending.delete(req)
  }

  /** Records that a request has ended at a target that had accepted it, and that has a place again. */
  recordCompleted (target: string, now: number): void {
    const full = this._full.get(target)
    if (full !== undefined) full.until = now
    this._freed = this.isShort(now) ? this._freed.filter(({ from }) => now - from <= FREED_TTL_MS) : []
    if (this.isShort(now)) this._freed.push({ target, from: ++this._left % LEFT_PLACE_INTERVAL === 0 ? now + LEFT_PLACE_MS : now })
  }

  private _add (req: AdmittedRequest): AdmittedRequest {
    this._pending.add(req)
    return req
  }

  private _hasFreed (now: number): boolean {
    this._freed = this._freed.filter(({ from }) => now - from <= FREED_TTL_MS)
    return this._freed.some(({ from }) => from <= now)
  }

  private _sweep (now: number): void {
    for (const [target, { until }] of this._full) if (until <= now) this._full.delete(target)
  }

  private _getRisk (now: number): number {
    return REFUSALS_PER_ACCEPTANCE * this._accepted.get(now) + FREE_REFUSALS
  }

  private _acceptOverdue (now: number): void {
    for (const req of this._pending) {
      if (now - req.at < REFUSAL_TIMEOUT_MS) return
      this._pending.delete(req)
      this._addAccepted(now)
    }
  }

  private _addAccepted (now: number): void {
    this._accepted.add(now)
    this._capacity.add(now)
  }
}
