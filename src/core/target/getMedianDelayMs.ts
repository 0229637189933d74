import type { TargetState } from './TargetState.js'

/** Targets with a recent delay from which there is a median; with fewer, one slow target could be most of them. */
const MIN_TARGETS = 3

/** Gets the median of the recent delays of some targets, in milliseconds; undefined if too few have responded lately. */
export function getMedianDelayMs (states: readonly TargetState[], now: number): number | undefined {
  const delays = states.filter(state => state.hasRecentDelay(now)).map(state => state.getExcessMs(now)).sort((a, b) => a - b)
  return delays.length < MIN_TARGETS ? undefined : delays[Math.floor((delays.length - 1) / 2)]!
}
