import { Random } from '../measure/Random.js'
import type { EngineBehaviour } from '../platform/EngineStandin.js'

/** A fault that the soak injects, with the milliseconds after its start. */
export type SoakFault =
  | { readonly at: number, readonly type: 'kill', readonly gateway: number, readonly signal: 'SIGKILL' | 'SIGTERM' }
  | { readonly at: number, readonly type: 'reload', readonly gateway: number }
  | { readonly at: number, readonly type: 'kill-all' }
  | { readonly at: number, readonly type: 'pause', readonly gateway: number, readonly forMs: number }
  | { readonly at: number, readonly type: 'store', readonly failure: 'refused' | 'silent' | 'answer-lost', readonly forMs: number }
  | { readonly at: number, readonly type: 'link', readonly gateway: number, readonly mode: LinkMode, readonly forMs: number }
  | { readonly at: number, readonly type: 'target', readonly target: number, readonly behaviour: EngineBehaviour }
  | { readonly at: number, readonly type: 'leave', readonly target: number, readonly forMs: number }

/** State of the connections between a gateway and the store. */
export type LinkMode = 'open' | 'delayed' | 'reset' | 'silent' | 'one-way'

const LINK_MODES: readonly LinkMode[] = ['delayed', 'reset', 'silent', 'one-way']
const FAILURES = ['refused', 'silent', 'answer-lost'] as const
const BEHAVIOURS: readonly EngineBehaviour[] = [
  'reset', 'break-off', 'not-run', 'unsigned', 'other-request', 'fail', 'cut-length', 'trickle', 'refuse-unproved', 'hang'
]

/** Longest duration of a fault, in milliseconds. */
const MAX_FAULT_MS = 3_000

/** Mean time between two faults, in milliseconds; faults overlap. */
const MEAN_GAP_MS = 250

/** Options of {@link planSoak}. */
export interface SoakPlanOptions {
  readonly seed: number
  readonly durationMs: number
  readonly gateways: number
  readonly targets: number
}

/** Plans the faults of a soak; the same options give the same plan. */
export function planSoak ({ seed, durationMs, gateways, targets }: SoakPlanOptions): SoakFault[] {
  const random = new Random(seed)
  const pick = <T>(values: readonly T[]): T => values[random.int(0, values.length - 1)]!
  const getDuration = (): number => random.int(100, MAX_FAULT_MS)
  const faults: SoakFault[] = []
  for (let at = random.exponential(MEAN_GAP_MS); at < durationMs; at += random.exponential(MEAN_GAP_MS)) {
    const gateway = random.int(0, gateways - 1)
    const target = random.int(0, targets - 1)
    const create: Array<() => SoakFault> = [
      () => ({ at, type: 'kill', gateway, signal: pick(['SIGKILL', 'SIGTERM'] as const) }),
      () => ({ at, type: 'reload', gateway }),
      () => ({ at, type: 'pause', gateway, forMs: getDuration() }),
      () => ({ at, type: 'store', failure: pick(FAILURES), forMs: getDuration() }),
      () => ({ at, type: 'link', gateway, mode: pick(LINK_MODES), forMs: getDuration() }),
      () => ({ at, type: 'leave', target, forMs: getDuration() }),
      ...BEHAVIOURS.map(behaviour => (): SoakFault => ({ at, type: 'target', target, behaviour }))
    ]
    faults.push(random.next() < 0.02 ? { at, type: 'kill-all' } : pick(create)())
  }
  return faults
}
