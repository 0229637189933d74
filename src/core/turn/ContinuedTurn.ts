/** A turn as it arrives. */
export interface ArrivingTurn {
  /** True if later turns may continue from this one. */
  readonly isRetained: boolean
  /** Id of the last event that the caller received in an earlier attempt. */
  readonly lastEventId: string | undefined
}

/**
 * Checks whether the transcript of a turn would lack the events that its caller received in an earlier attempt.
 *
 * Only the gateway of that attempt had them, and it kept them no longer than its connection to the caller.
 */
export function lacksEarlierEvents ({ isRetained, lastEventId }: ArrivingTurn): boolean {
  return isRetained && lastEventId !== undefined
}
