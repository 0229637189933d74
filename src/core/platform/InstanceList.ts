/** Role of a listed instance. */
export const InstanceRole = { Entry: 'entry', Target: 'target' } as const
export type InstanceRole = typeof InstanceRole[keyof typeof InstanceRole]

/** State of a listed instance; lags behind its actual state. A leaving instance is draining. */
export const InstanceState = { Live: 'live', Leaving: 'leaving' } as const
export type InstanceState = typeof InstanceState[keyof typeof InstanceState]

/** One instance in the platform's list. */
export interface Instance {
  readonly id: string
  readonly role: InstanceRole
  /** Name of the service that a target offers. */
  readonly service?: string
  readonly region: string
  readonly failureDomain: string
  /** Base URL: of the entry, or of the sidecar beside a target. */
  readonly url: string
  readonly state: InstanceState
}

/** The platform's list of live and draining instances, which lags behind their actual state. */
export abstract class InstanceList {
  /** Gets the list, as the same array while it is unchanged; rejects when the platform does not respond. */
  abstract list (): Promise<readonly Instance[]>
}
