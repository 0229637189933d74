import type { Either } from 'purify-ts'
import type { Refusal } from '../reason/index.js'

/** Properties of a call that the selection of a target depends on. */
export interface SelectionRequest {
  readonly service: string
  readonly workspace: string
  /** Calls with the same key prefer the same target, since it may have cached their common prefix. */
  readonly affinityKey: string
  /** Targets that may have cached a prefix of the prompt; the most recent is last. */
  readonly warmTargets: readonly string[]
  readonly promptTokens: number
  readonly maxTokens: number
  /** True when the session has made calls before or this call has been attempted before. */
  readonly isInProgress: boolean
  readonly deadline: number
  /** Targets that refused, lost or did not receive an attempt of this call. */
  readonly excluded: ReadonlySet<string>
}

/** A target and the incarnation of its sidecar. */
export interface SelectedTarget {
  readonly id: string
  readonly incarnation: string
  /** Reason for the choice of this target, as text for the trace. */
  readonly cause: string
}

/** Selects the target for a call or refuses the call before it is claimed. */
export abstract class TargetSelector {
  /** Selects a target. */
  abstract select (req: SelectionRequest, now: number): Either<Refusal, SelectedTarget>
}
