/** Role of a listed instance. */
export const InstanceRole = { Entry: 'entry', Target: 'target' } as const
export type InstanceRole = typeof InstanceRole[keyof typeof InstanceRole]

/** State of a listed instance, as the platform saw it some time ago. */
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

/** The platform's lagging list of live and leaving instances. */
export abstract class InstanceList {
  /** Gets the list, the same array while it has not changed; rejects when the platform does not answer. */
  abstract list (): Promise<readonly Instance[]>
}
