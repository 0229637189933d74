import type { PromptSegment } from '../forward/index.js'
import type { Target } from './Target.js'

/** Tells which prompt parts targets have cached. */
export abstract class CacheSource {
  /** Lists the cached parts of a target; rejects when it does not answer in time. */
  abstract list (target: Target, timeoutMs: number): Promise<PromptSegment[]>
}
