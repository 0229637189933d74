import { Random } from '../measure/Random.js'
import type { EngineBehaviour } from '../platform/EngineStandin.js'

/** Names of all faults and disturbances, by which runs select them. */
export const SoakFaultName = {
  Kill: 'kill',
  Reload: 'reload',
  Pause: 'pause',
  Store: 'store',
  Link: 'link',
  Leave: 'leave',
  Target: 'target',
  KillAll: 'kill-all',
  Unframed: 'unframed',
  RepeatedRefusals: 'repeated-refusals',
  HalfRequests: 'half-requests',
  KeptChannels: 'kept-channels',
  Handover: 'handover',
  Silence: 'silence',
  Endless: 'endless',
  Crashes: 'crashes',
  CrashingRequest: 'crashing-request',
  CrashForms: 'crash-forms',
  CrashSenders: 'crash-senders',
  HeldRequests: 'held-requests',
  LargeBreaks: 'large-breaks',
  ResumedTurns: 'resumed-turns',
  OddRows: 'odd-rows',
  Leaving: 'leaving',
  OutOfStep: 'out-of-step',
  Config: 'config',
  RemovedKeys: 'removed-keys',
  HotWorkspace: 'hot-workspace',
  FailingTarget: 'failing-target',
  OutsideLimits: 'outside-limits'
} as const
export type SoakFaultName = typeof SoakFaultName[keyof typeof SoakFaultName]

/** Faults of one moment or one cause, which {@link Soak} applies by itself. */
export const SIMPLE_FAULTS: readonly SoakFaultName[] = ['kill', 'reload', 'pause', 'store', 'link', 'leave', 'target', 'kill-all']

/** Faults that break no promise for calm times by their nature: planned work, and what targets may do. */
const CALM_FAULTS: readonly SoakFaultName[] = [
  'reload', 'leave', 'target', 'unframed', 'repeated-refusals', 'kept-channels', 'handover', 'silence', 'large-breaks',
  'odd-rows', 'leaving', 'config', 'hot-workspace', 'failing-target'
]

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
  | { readonly at: number, readonly type: DisturbanceName, readonly seed: number }

/** Name of a fault that a {@link Disturbance} plays. */
export type DisturbanceName = Exclude<SoakFaultName, 'kill' | 'reload' | 'pause' | 'store' | 'link' | 'leave' | 'target' | 'kill-all'>

/** State of the connections between a gateway and the store. */
export type LinkMode = 'open' | 'delayed' | 'reset' | 'silent' | 'one-way'

const LINK_MODES: readonly LinkMode[] = ['delayed', 'reset', 'silent', 'one-way']
const FAILURES = ['refused', 'silent', 'answer-lost'] as const
const BEHAVIOURS: readonly EngineBehaviour[] = [
  'reset', 'break-off', 'not-run', 'unsigned', 'other-request', 'fail', 'cut-length', 'trickle', 'refuse-unproved', 'hang'
]

/** Longest duration of a simple fault, in milliseconds. */
const MAX_FAULT_MS = 3_000

/** Mean time between two simple faults, and between two disturbances, in milliseconds; they overlap. */
const MEAN_GAP_MS = 250
const MEAN_DISTURBANCE_GAP_MS = 1_500

/** Duration of a phase in milliseconds; half of the phases are calm, so that promises for calm times are checked. */
const PHASE_MS = 12_000

/** Options of {@link planSoak}. */
export interface SoakPlanOptions {
  readonly seed: number
  readonly durationMs: number
  readonly gateways: number
  readonly targets: number
  /** Faults of the plan; all by default. */
  readonly only?: readonly SoakFaultName[]
}

/** Plans the faults of a soak; the same options give the same plan. */
export function planSoak (options: SoakPlanOptions): SoakFault[] {
  const only = options.only ?? Object.values(SoakFaultName)
  const disturbances = only.filter((name): name is DisturbanceName => !SIMPLE_FAULTS.includes(name))
  const faults = [...planSimpleFaults(options, only), ...planDisturbances(options, disturbances)]
  faults.sort((a, b) => a.at - b.at)
  if (only.length < Object.values(SoakFaultName).length) return faults
  const firstPhase = options.seed % 2
  return faults.filter(fault => (Math.floor(fault.at / PHASE_MS) + firstPhase) % 2 === 1 || isCalm(fault))
}

function isCalm (fault: SoakFault): boolean {
  return CALM_FAULTS.includes(fault.type) || (fault.type === 'kill' && fault.signal === 'SIGTERM')
}

function planDisturbances ({ seed, durationMs }: SoakPlanOptions, names: readonly DisturbanceName[]): SoakFault[] {
  if (names.length === 0) return []
  const random = new Random(seed + 2)
  const faults: SoakFault[] = []
  for (let at = 0; at < durationMs; at += random.exponential(MEAN_DISTURBANCE_GAP_MS)) {
    faults.push({ at, type: names[random.int(0, names.length - 1)]!, seed: random.int(0, 1_000_000) })
  }
  return faults
}

function planSimpleFaults ({ seed, durationMs, gateways, targets }: SoakPlanOptions, only: readonly SoakFaultName[]): SoakFault[] {
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
  return faults.filter(fault => only.includes(fault.type))
}
