import { getEligible, PlacementPolicy, type Placement, type PlacementRequest } from './PlacementPolicy.js'
import type { TargetState } from './TargetState.js'

/** Milliseconds to read one prompt token that is not cached; of the order of a large model on eight accelerators. */
export const PREFILL_MS_PER_TOKEN = 0.03

/** Milliseconds that each request of this gateway adds to the wait of the next one at a target of one slot. */
export const WAIT_MS_PER_REQUEST = 100

/** Milliseconds by which a target of another failure domain is worse: bytes between domains are paid for, and 10 ms left too many there. */
export const OTHER_DOMAIN_PENALTY_MS = 25

/** Milliseconds by which a target of another region is worse: the round trip and the narrow link. */
export const OTHER_REGION_PENALTY_MS = 60

/** Share of a session's own part that is new at a target that ran the turns before; it grows by some hundred tokens a turn. */
const NEW_SHARE_OF_SESSION_SEGMENT = 0.3

/** Options of {@link CostPlacement}. */
export interface CostPlacementOptions {
  readonly failureDomain: string
  /** Region by failure domain. */
  readonly regions: Readonly<Record<string, string>>
  /** Gives numbers in [0, 1), so that gateways break ties differently. */
  readonly random: () => number
}

/**
 * Places by predicted time to the first byte: uncached prompt, load, distance and recent delay.
 *
 * Answers lines of turns whose prompts grow from one turn to the next, and targets that are slowed by neighbours nobody sees.
 */
export class CostPlacement extends PlacementPolicy {
  private readonly _options: CostPlacementOptions

  constructor (options: CostPlacementOptions) {
    super()
    this._options = options
  }

  select (candidates: readonly TargetState[], req: PlacementRequest, now: number): Placement | undefined {
    const eligible = getEligible(candidates, req, now)
    const start = Math.floor(this._options.random() * eligible.length)
    let best: Placement | undefined
    for (let offset = 0; offset < eligible.length; offset++) {
      const estimate = this._estimate(eligible[(start + offset) % eligible.length]!, req, now)
      if (best === undefined || estimate.predictedMs < best.predictedMs) best = estimate
    }
    return best
  }

  private _estimate (state: TargetState, req: PlacementRequest, now: number): Placement {
    const cached = getCachedTokens(state, req)
    const prefillMs = Math.max(0, req.promptTokens - cached) * PREFILL_MS_PER_TOKEN
    const loadMs = state.getInFlight() * WAIT_MS_PER_REQUEST / state.target.slots + state.getPendingPrefillMs()
    const distanceMs = this._getDistanceMs(state.target.failureDomain)
    const excessMs = state.getExcessMs(now)
    return {
      state,
      predictedMs: prefillMs + loadMs + distanceMs + excessMs,
      prefillMs,
      inputs: { cached, inFlight: state.getInFlight(), loadMs: Math.round(loadMs), distanceMs, excessMs: Math.round(excessMs) }
    }
  }

  private _getDistanceMs (failureDomain: string): number {
    const { failureDomain: localDomain, regions } = this._options
    if (failureDomain === localDomain) return 0
    return regions[failureDomain] === regions[localDomain] ? OTHER_DOMAIN_PENALTY_MS : OTHER_REGION_PENALTY_MS
  }
}

/** Gets the prompt tokens that a target probably has: by what this gateway sent there, or by what other gateways say of the program. */
function getCachedTokens (state: TargetState, req: PlacementRequest): number {
  const trackedTokens = state.prefixCache.getCachedTokens(req.promptSegments)
  if (state.incarnation !== req.warmTarget) return trackedTokens
  const totalTokens = req.promptSegments.reduce((sum, segment) => sum + segment.tokens, 0)
  const sessionTokens = req.promptSegments.at(-1)?.tokens ?? 0
  return Math.max(trackedTokens, totalTokens - Math.ceil(sessionTokens * NEW_SHARE_OF_SESSION_SEGMENT))
}
