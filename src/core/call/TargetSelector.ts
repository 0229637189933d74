import type { Either } from 'purify-ts'
import type { Refusal } from '../reason/index.js'

/** What a selector needs to know about a call. */
export interface SelectionRequest {
  readonly service: string
  readonly workspace: string
  /** Key whose calls should stay together for the sake of cached prefixes. */
  readonly affinityKey: string
  /** Targets that hold a prefix of the call; the latest is last. */
  readonly warmTargets: readonly string[]
  readonly promptTokens: number
  readonly maxTokens: number
  /** True when the session has made calls before. */
  readonly isInProgress: boolean
  readonly deadline: number
  /** Targets that refused or lost an attempt of this call. */
  readonly excluded: ReadonlySet<string>
}

/** A target with the incarnation of the sidecar beside it. */
export interface SelectedTarget {
  readonly id: string
  readonly incarnation: string
  /** Why this target was taken, in words. */
  readonly cause: string
}

/** Chooses a target for a call, or refuses the call before it is claimed. */
export abstract class TargetSelector {
  /** Selects a target. */
  abstract select (req: SelectionRequest, now: number): Either<Refusal, SelectedTarget>
}
