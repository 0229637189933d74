/** One incarnation of an instance that runs requests, as it registered itself. */
export interface Target {
  /** Instance id; the target compares it with the id named in each request. */
  readonly id: string
  /** Start time of this incarnation, in Unix milliseconds; 0 when unknown. */
  readonly bornAt: number
  readonly service: string
  /** Version of the target's software; versions have no order, and what two of them generate must not be joined in one stream. */
  readonly softwareVersion: string
  /** Host and port. */
  readonly address: string
  readonly failureDomain: string
  readonly isLeaving: boolean
  /** Number of requests that the target runs concurrently. */
  readonly slots: number
  /** Milliseconds for which the target stays slow after its start, as of the writing of its row; undefined if it states none. */
  readonly coldMs?: number
}

/** Gets the key of one incarnation of a target. */
export function getIncarnationKey (target: Target): string {
  return `${target.id}@${target.bornAt}`
}
