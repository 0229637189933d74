import type { PromptSegment } from '../forward/index.js'
import type { Target } from './Target.js'

/** Gets the prompt segments that targets have cached. */
export abstract class CacheSource {
  /** Lists the cached segments of a target; rejects when the target does not respond in time. */
  abstract list (target: Target, timeoutMs: number): Promise<PromptSegment[]>
}
