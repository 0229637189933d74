/** One lifetime of an instance that runs requests, as it registered itself. */
export interface Target {
  /** Id that the target checks on each request. */
  readonly id: string
  /** Time at which this lifetime began, in Unix milliseconds; 0 when unknown. */
  readonly bornAt: number
  readonly service: string
  /** Host and port. */
  readonly address: string
  readonly failureDomain: string
  readonly isLeaving: boolean
  /** Requests that it runs at once. */
  readonly slots: number
}

/** Names one lifetime of a target. */
export function getIncarnationKey (target: Target): string {
  return `${target.id}@${target.bornAt}`
}
