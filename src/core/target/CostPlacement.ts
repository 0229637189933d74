import { getEligible, PlacementPolicy, type Placement, type PlacementRequest } from './PlacementPolicy.js'
import type { TargetState } from './TargetState.js'

/** Milliseconds to prefill one prompt token that is not cached; the order of magnitude of a large model on eight accelerators. */
export const PREFILL_MS_PER_TOKEN = 0.03

/** Milliseconds by which each request in progress from this gateway delays the next one at a target with one slot. */
export const WAIT_MS_PER_REQUEST = 100

/** Cost in milliseconds of a target in another failure domain: its traffic is billed, and 10 ms placed too many requests there. */
export const OTHER_DOMAIN_PENALTY_MS = 25

/** Cost in milliseconds of a target in another region: the round trip and the low bandwidth of the link. */
export const OTHER_REGION_PENALTY_MS = 60

/** Observed delays in milliseconds up to which targets count as equally fast: the noise of timers and of a busy event loop. */
export const EXCESS_NOISE_MS = 5

/** Share of the last segment, which belongs to the session, that a warm target has not cached: each turn adds some hundred tokens to it. */
const NEW_SHARE_OF_SESSION_SEGMENT = 0.3

/** Options of {@link CostPlacement}. */
export interface CostPlacementOptions {
  readonly failureDomain: string
  /** Region by failure domain. */
  readonly regions: Readonly<Record<string, string>>
  /** Returns numbers in [0, 1), so that gateways break ties differently. */
  readonly random: () => number
}

/**
 * Places requests by predicted time to the first byte: prefill of the uncached prompt, load, network distance, recent delay and the wait
 * for a permit of a target that limits its request rate; and by what a failure of a target that has lately failed would cost.
 *
 * Handles conversations whose prompts grow with every turn: a target that has the earlier turns cached prefills only the new tokens.
 * A target whose memory is known is avoided while a request would fill it, since it would refuse the request or preempt streams.
 * The recent delay accounts for targets that are slowed by neighbouring workloads, which the gateway cannot observe.
 */
export class CostPlacement extends PlacementPolicy {
  private readonly _options: CostPlacementOptions

  constructor (options: CostPlacementOptions) {
    super()
    this._options = options
  }

  select (candidates: readonly TargetState[], req: PlacementRequest, now: number): Placement | undefined {
    const eligible = this._getReady(getWithMemory(getEligible(candidates, req, now), req, now), req, now)
    const start = Math.floor(this._options.random() * eligible.length)
    let best: Placement | undefined
    let bestCostMs = Infinity
    for (let offset = 0; offset < eligible.length; offset++) {
      const state = eligible[(start + offset) % eligible.length]!
      const failureMs = state.health.getCostMs(now, req.isRepeatable)
      const estimate = this._estimate(state, req, now, failureMs)
      const costMs = estimate.predictedMs + failureMs
      if (costMs >= bestCostMs) continue
      best = estimate
      bestCostMs = costMs
    }
    return best
  }

  private _estimate (state: TargetState, req: PlacementRequest, now: number, failureMs: number): Placement {
    const cached = getCachedTokens(state, req)
    const prefillMs = Math.max(0, req.promptTokens - cached) * PREFILL_MS_PER_TOKEN
    const loadMs = state.getInFlight() * WAIT_MS_PER_REQUEST / state.target.slots + state.getPendingPrefillMs()
    const distanceMs = this._getDistanceMs(state.target.failureDomain)
    const excessMs = Math.max(0, state.getExcessMs(now) - EXCESS_NOISE_MS)
    const share = state.slowStart.getShare(now)
    const permitWaitMs = state.getPermitWaitMs(now)
    return {
      state,
      predictedMs: prefillMs + loadMs + distanceMs + excessMs + permitWaitMs,
      prefillMs,
      inputs: {
        cached,
        inFlight: state.getInFlight(),
        loadMs: Math.round(loadMs),
        distanceMs,
        excessMs: Math.round(excessMs),
        ...(share < 1 && { share: Number(share.toFixed(2)) }),
        ...(failureMs > 0 && { failureMs: Math.round(failureMs) }),
        ...(permitWaitMs > 0 && { permitWaitMs: Math.round(permitWaitMs) })
      }
    }
  }

  /**
   * Gets the targets that may get this request; one that starts slowly is considered for its share of the requests only.
   *
   * The share is one of the largest, so that nothing is held back where all targets are equally new.
   */
  private _getReady (eligible: TargetState[], { warmTarget }: PlacementRequest, now: number): TargetState[] {
    const shares = eligible.map(state => state.slowStart.getShare(now))
    const largest = Math.max(...shares)
    return eligible.filter((state, at) => {
      const share = shares[at]! / largest
      return share === 1 || state.incarnation === warmTarget || this._options.random() < share
    })
  }

  private _getDistanceMs (failureDomain: string): number {
    const { failureDomain: localDomain, regions } = this._options
    if (failureDomain === localDomain) return 0
    return regions[failureDomain] === regions[localDomain] ? OTHER_DOMAIN_PENALTY_MS : OTHER_REGION_PENALTY_MS
  }
}

/** Gets the targets that a request doesn't fill; all of them if it fills each, since the counts are upper bounds and estimates. */
function getWithMemory (eligible: TargetState[], { heldTokens = 0 }: PlacementRequest, now: number): TargetState[] {
  const withMemory = eligible.filter(state => state.hasMemory(heldTokens, now))
  return withMemory.length > 0 ? withMemory : eligible
}

/**
 * Gets the number of prompt tokens that a target has probably cached.
 *
 * Uses the prompts that this gateway sent there or, at the warm target of the program, the earlier turns sent by other gateways.
 */
function getCachedTokens (state: TargetState, req: PlacementRequest): number {
  const trackedTokens = state.prefixCache.getCachedTokens(req.promptSegments)
  if (state.incarnation !== req.warmTarget) return trackedTokens
  const totalTokens = req.promptSegments.reduce((sum, segment) => sum + segment.tokens, 0)
  const sessionTokens = req.promptSegments.at(-1)?.tokens ?? 0
  return Math.max(trackedTokens, totalTokens - Math.ceil(sessionTokens * NEW_SHARE_OF_SESSION_SEGMENT))
}
