import { Left, Right, type Either } from 'purify-ts'
import { TargetSelector, type SelectedTarget, type SelectionRequest } from '../call/index.js'
import type { WorkspaceShares } from '../limits/index.js'
import type { Refusal } from '../reason/index.js'
import { rankByRendezvous } from './RendezvousHash.js'
import { getOutstanding, getRecentSlowness, type TargetDirectory, type TargetView } from './TargetDirectory.js'

/** Milliseconds to prefill one token that is not cached. */
export const PREFILL_MS_PER_TOKEN = 0.25

/** Assumed milliseconds per generated token while no target of the service has reported any. */
export const ASSUMED_MS_PER_TOKEN = 20

/** Assumed milliseconds of a run while no target of the service has reported any. */
export const ASSUMED_RUN_MS = 50

/** Relative increase of the time of a run in a full batch. */
export const FULL_BATCH_SLOWDOWN = 0.3

/** Bytes of one prompt token on the link between regions. */
const BYTES_PER_TOKEN = 5

/** Share of the time to the deadline that a new session may wait for a slot; a session in progress may wait for all of it. */
export const NEW_SESSION_WAIT_SHARE = 0.1

/** Ratio to the median of its service from which a target counts as slowed. */
export const SLOWED_RATIO = 1.5

/** Share of the prefix that is assumed to be cached at a target that served the session earlier, but not last. */
const STALE_WARM_SHARE = 0.5

/** Options of {@link CostSelector}. */
export interface CostSelectorOptions {
  readonly directory: TargetDirectory
  readonly region: string
  readonly failureDomain: string
  readonly shares?: WorkspaceShares
  /** One-way delay of the link between regions in milliseconds. */
  readonly linkDelayMs?: number
  /** Bits per second of the link between regions. */
  readonly linkBitsPerSecond?: number
}

interface Estimate {
  readonly view: TargetView
  readonly waitMs: number
  readonly prefillMs: number
  readonly linkMs: number
  readonly runMs: number
}

/** Selects the target with the lowest cost: predicted wait, prefill of the uncached prefix and transfer over the link. */
export class CostSelector extends TargetSelector {
  private readonly _options: CostSelectorOptions

  constructor (options: CostSelectorOptions) {
    super()
    this._options = options
  }

  select (req: SelectionRequest, now: number): Either<Refusal, SelectedTarget> {
    const usable = this._options.directory.getUsable(req.service, now).filter(view => !req.excluded.has(view.instance.id))
    if (usable.length === 0) return Left({ reason: 'no-target', retryAfterSeconds: 1 })
    const homeId = rankByRendezvous(req.affinityKey, usable.map(view => view.instance.id))[0]!
    const medians = getServiceMedians(usable, now)
    const estimates = usable.map(view => this._estimate(view, req, medians, now))
    const best = estimates.reduce((a, b) => isCheaper(b, a, homeId) ? b : a)
    return this._admit(best, req, now).map(() => toSelected(best, req, homeId))
  }

  private _estimate (view: TargetView, req: SelectionRequest, medians: ServiceMedians, now: number): Estimate {
    const slowdown = getSlowdown(view, medians, now)
    const uncachedTokens = req.promptTokens * (1 - getWarmShare(view, req))
    const outstanding = getOutstanding(view)
    const { slots } = view.load!
    const runMs = getExpectedRunMs(req, medians) * slowdown
    return {
      view,
      waitMs: Math.max(0, outstanding + 1 - slots) * medians.runMs * slowdown / slots,
      prefillMs: uncachedTokens * PREFILL_MS_PER_TOKEN * slowdown,
      linkMs: this._getLinkMs(view, req),
      runMs: runMs * (1 + FULL_BATCH_SLOWDOWN * Math.min(1, outstanding / slots))
    }
  }

  private _getLinkMs (view: TargetView, req: SelectionRequest): number {
    if (view.instance.region === this._options.region) return view.instance.failureDomain === this._options.failureDomain ? 0 : 1
    const bits = req.promptTokens * BYTES_PER_TOKEN * 8
    return 2 * (this._options.linkDelayMs ?? 12) + 1000 * bits / (this._options.linkBitsPerSecond ?? 20_000_000)
  }

  private _admit (best: Estimate, req: SelectionRequest, now: number): Either<Refusal, true> {
    const remainingMs = req.deadline - now
    const isScarce = best.waitMs > 0
    if (isScarce && !req.isInProgress && this._options.shares?.isExceeded(req.workspace) === true) {
      return Left({ reason: 'share-exceeded', retryAfterSeconds: toRetrySeconds(best.waitMs) })
    }
    const maxWaitMs = req.isInProgress ? remainingMs : remainingMs * NEW_SESSION_WAIT_SHARE
    if (best.waitMs > maxWaitMs || getTotalMs(best) > remainingMs) {
      return Left({ reason: 'overloaded', retryAfterSeconds: toRetrySeconds(best.waitMs), members: { predictedWaitMs: Math.round(best.waitMs) } })
    }
    return Right(true)
  }
}

/** Medians over the usable targets of a service, with defaults where no target has reported a value. */
interface ServiceMedians {
  readonly msPerToken: number
  readonly runMs: number
  readonly slowness: number
}

function getServiceMedians (views: readonly TargetView[], now: number): ServiceMedians {
  const getMedianOf = (getValue: (view: TargetView) => number): number => getMedian(views.map(getValue).filter(value => value > 0))
  return {
    msPerToken: getMedianOf(view => view.load!.msPerToken) || ASSUMED_MS_PER_TOKEN,
    runMs: getMedianOf(view => view.load!.runMs) || ASSUMED_RUN_MS,
    slowness: getMedianOf(view => getRecentSlowness(view, now))
  }
}

function getExpectedRunMs (req: SelectionRequest, medians: ServiceMedians): number {
  return req.maxTokens === 0 ? medians.runMs : Math.min(medians.runMs, req.maxTokens * medians.msPerToken)
}

/** Gets the factor by which a target is slower than its service: from its current time per token, or else from its recent runs. */
function getSlowdown (view: TargetView, medians: ServiceMedians, now: number): number {
  const { msPerToken } = view.load!
  if (msPerToken > 0) return toSlowdown(msPerToken / medians.msPerToken)
  const slowness = getRecentSlowness(view, now)
  return medians.slowness > 0 && slowness > 0 ? toSlowdown(slowness / medians.slowness) : 1
}

function toSlowdown (ratio: number): number {
  return ratio < SLOWED_RATIO ? 1 : ratio
}

function getWarmShare (view: TargetView, req: SelectionRequest): number {
  const index = req.warmTargets.indexOf(view.instance.id)
  if (index < 0) return 0
  return index === req.warmTargets.length - 1 ? 1 : STALE_WARM_SHARE
}

function getTotalMs (estimate: Estimate): number {
  return estimate.waitMs + estimate.prefillMs + estimate.linkMs + estimate.runMs
}

function isCheaper (a: Estimate, b: Estimate, homeId: string): boolean {
  const difference = getTotalMs(a) - getTotalMs(b)
  if (Math.abs(difference) > 0.5) return difference < 0
  const isHomeA = a.view.instance.id === homeId
  const isHomeB = b.view.instance.id === homeId
  if (isHomeA !== isHomeB) return isHomeA
  return a.view.inFlight < b.view.inFlight
}

function getMedian (values: readonly number[]): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor((sorted.length - 1) / 2)]!
}

function toRetrySeconds (waitMs: number): number {
  return Math.max(1, Math.ceil(waitMs / 1000))
}

function toSelected (best: Estimate, req: SelectionRequest, homeId: string): SelectedTarget {
  const id = best.view.instance.id
  const reason = req.warmTargets.includes(id) ? 'holds the prefix' : id === homeId ? 'home of the session' : 'least cost'
  const cause = `${reason}: wait ${Math.round(best.waitMs)} ms, prefill ${Math.round(best.prefillMs)} ms, link ${Math.round(best.linkMs)} ms`
  return { id, incarnation: best.view.load!.incarnation, cause }
}
