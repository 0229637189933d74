import type { PromptSegment } from '../forward/index.js'
import type { TargetState } from './TargetState.js'

/** A request for which a target is to be selected. */
export interface PlacementRequest {
  readonly promptTokens: number
  /** Tokens that the request holds in a target's memory at most: its prompt and its longest response; 0 by default. */
  readonly heldTokens?: number
  readonly promptSegments: readonly PromptSegment[]
  /** Key of the incarnation that ran the program's earlier turns, as recorded by any gateway; undefined when none is recorded. */
  readonly warmTarget: string | undefined
  /** Keys of the incarnations that the request was already sent to. */
  readonly excluded: ReadonlySet<string>
  /** True if the request may run again when its response is lost. */
  readonly isRepeatable: boolean
}

/** The target selected for a request, with the inputs of the decision for logs. */
export interface Placement {
  readonly state: TargetState
  /** Predicted milliseconds to the first byte. */
  readonly predictedMs: number
  /** The part of `predictedMs` that the prefill takes. */
  readonly prefillMs: number
  /** Values that the decision was based on; they are added to the log line of the dispatch. */
  readonly inputs: Readonly<Record<string, number | string>>
}

/** Selects the target of a request. */
export abstract class PlacementPolicy {
  /** Selects one of the candidates, or returns undefined when all are excluded. */
  abstract select (candidates: readonly TargetState[], req: PlacementRequest, now: number): Placement | undefined
}

/** Gets the candidates that are not excluded; ejected ones are included only when there are no others. */
export function getEligible (candidates: readonly TargetState[], req: PlacementRequest, now: number): TargetState[] {
  const untried = candidates.filter(state => !req.excluded.has(state.incarnation))
  const healthy = untried.filter(state => !state.isEjected(now))
  return healthy.length > 0 ? healthy : untried
}
