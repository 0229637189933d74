import type { PromptSegment } from '../forward/index.js'
import type { TargetState } from './TargetState.js'

/** Work that is to be placed. */
export interface PlacementRequest {
  readonly promptTokens: number
  readonly promptSegments: readonly PromptSegment[]
  /** Name of the lifetime that ran the program's earlier turns, as far as other gateways say. */
  readonly warmTarget: string | undefined
  /** Names of lifetimes that the request was already sent to. */
  readonly excluded: ReadonlySet<string>
}

/** Where a request goes, with the reason for logs. */
export interface Placement {
  readonly state: TargetState
  /** Milliseconds to the first byte as predicted. */
  readonly predictedMs: number
  /** Milliseconds of it in which the prompt is read. */
  readonly prefillMs: number
  /** Inputs that decided. */
  readonly inputs: Readonly<Record<string, number | string>>
}

/** Chooses the target of a request. */
export abstract class PlacementPolicy {
  /** Chooses among targets that take work; undefined when none is left. */
  abstract select (candidates: readonly TargetState[], req: PlacementRequest, now: number): Placement | undefined
}

/** Gets the candidates that are not excluded; ejected ones only when there are no others. */
export function getEligible (candidates: readonly TargetState[], req: PlacementRequest, now: number): TargetState[] {
  const untried = candidates.filter(state => !req.excluded.has(state.incarnation))
  const healthy = untried.filter(state => !state.isEjected(now))
  return healthy.length > 0 ? healthy : untried
}
