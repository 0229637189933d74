import { getEligible, PlacementPolicy, type Placement, type PlacementRequest } from './PlacementPolicy.js'
import type { TargetState } from './TargetState.js'

/** Selects targets in rotation; a baseline for measurements. */
export class RoundRobin extends PlacementPolicy {
  private _next = 0

  select (candidates: readonly TargetState[], req: PlacementRequest, now: number): Placement | undefined {
    const eligible = getEligible(candidates, req, now)
    const state = eligible[this._next++ % Math.max(1, eligible.length)]
    return state === undefined ? undefined : { state, predictedMs: 0, prefillMs: 0, inputs: {} }
  }
}

/** Selects the target with the fewest requests of this gateway in progress; a baseline for measurements. */
export class LeastOutstanding extends PlacementPolicy {
  select (candidates: readonly TargetState[], req: PlacementRequest, now: number): Placement | undefined {
    const eligible = getEligible(candidates, req, now)
    if (eligible.length === 0) return undefined
    const state = eligible.reduce((a, b) => b.getInFlight() < a.getInFlight() ? b : a)
    return { state, predictedMs: 0, prefillMs: 0, inputs: { inFlight: state.getInFlight() } }
  }
}
