import type { CallResponse } from '../history/index.js'

/** Outcome of a run at a target. */
export const RunOutcome = {
  /** The target sent a complete response. */
  Complete: 'complete',
  /** The sidecar ended the response at the token reservation or the deadline; the text received so far is the response. */
  Truncated: 'cut',
  /** The connection to the target was lost after the request may have reached it. */
  Crashed: 'crashed',
  /** The target accepted no connection, so it did not receive the request. */
  Unreached: 'unreached',
  /** The request reached its deadline in the queue and was not sent to the target. */
  Dropped: 'dropped',
  /** The deadline passed before the target responded. */
  TimedOut: 'timed-out'
} as const
export type RunOutcome = typeof RunOutcome[keyof typeof RunOutcome]

/** Result of one attempt, kept by the sidecar until it is acknowledged. */
export interface RunResult {
  readonly outcome: RunOutcome
  readonly answer: CallResponse
  /** Prompt tokens that the target found in its cache. */
  readonly cachedTokens: number
  /** Total number of prompt tokens. */
  readonly promptTokens: number
  readonly queuedAt: number
  readonly startedAt: number
  readonly firstByteAt: number
  readonly endedAt: number
}
