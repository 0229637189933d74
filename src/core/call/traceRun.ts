import { StepName, type Trace } from '../explain/index.js'
import type { RunResult } from './RunResult.js'

/** Adds the steps of a run at its target to the trace of its call. */
export function traceRun (trace: Trace, target: string, result: RunResult): void {
  if (result.startedAt > 0) trace.add(StepName.Queued, `${result.startedAt - result.queuedAt} ms in the queue`, target, result.startedAt)
  if (result.firstByteAt > 0) {
    trace.add(StepName.FirstToken, `${result.cachedTokens} of ${result.promptTokens} prompt tokens cached`, target, result.firstByteAt)
  }
  trace.add(StepName.Finished, `${result.outcome}, ${result.answer.tokens} tokens`, target, result.endedAt)
}
