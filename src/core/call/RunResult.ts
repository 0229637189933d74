import type { CallResponse } from '../history/index.js'

/** How a run at a target ended. */
export const RunOutcome = {
  /** The target answered. */
  Complete: 'complete',
  /** The sidecar cut the answer at the reservation or the deadline; the text so far is the answer. */
  Truncated: 'cut',
  /** The target broke off after the request may have reached it. */
  Crashed: 'crashed',
  /** The target accepted no connection, so the request did not reach it. */
  Unreached: 'unreached',
  /** The request waited in the queue until its deadline and was dropped before it was sent. */
  Dropped: 'dropped',
  /** The deadline passed while the target had not answered. */
  TimedOut: 'timed-out'
} as const
export type RunOutcome = typeof RunOutcome[keyof typeof RunOutcome]

/** Result of one attempt, kept by the sidecar until it is acknowledged. */
export interface RunResult {
  readonly outcome: RunOutcome
  readonly answer: CallResponse
  /** Prompt tokens that the target found in its cache. */
  readonly cachedTokens: number
  /** Prompt tokens in all. */
  readonly promptTokens: number
  readonly queuedAt: number
  readonly startedAt: number
  readonly firstByteAt: number
  readonly endedAt: number
}
