import type { Claim, Dispatch, RunResult, SelectionRequest, TargetSelector } from '../../src/core/call/index.js'
import { WorkspaceShares } from '../../src/core/limits/index.js'
import type { Instance } from '../../src/core/platform/index.js'
import { ASSUMED_MS_PER_TOKEN, CostSelector, PREFILL_MS_PER_TOKEN, TargetDirectory } from '../../src/core/routing/index.js'
import { LeastAttainedQueue, SidecarCore, type SidecarEffect } from '../../src/core/sidecar/index.js'
import { FifoQueue, LeastOutstandingSelector, RoundRobinSelector } from './baselines.js'
import type { Timeline } from './Timeline.js'
import { VirtualTarget, type Work } from './VirtualTarget.js'

/** Scheduling policies that are compared. */
export const Policy = { RoundRobin: 'round robin, FIFO', LeastOutstanding: 'least outstanding, FIFO', Ours: 'ours' } as const
export type Policy = typeof Policy[keyof typeof Policy]

/** Sizes and network delays of a deployment. */
export interface DeploymentShape {
  readonly name: string
  readonly engines: ReadonlyArray<{ readonly failureDomain: string, readonly region: string, readonly count: number }>
  readonly desks: ReadonlyArray<{ readonly failureDomain: string, readonly region: string, readonly count: number }>
  /** One-way delay between failure domains of a region, in milliseconds. */
  readonly domainDelayMs: number
  /** One-way delay between regions, in milliseconds. */
  readonly regionDelayMs: number
}

/** Deployments of the two examples, workshop and mooring desk. */
export const SHAPES: readonly DeploymentShape[] = [
  {
    name: 'workshop',
    engines: [
      { failureDomain: 'luzern', region: 'zentral', count: 3 },
      { failureDomain: 'zug', region: 'zentral', count: 2 },
      { failureDomain: 'neuenburg', region: 'west', count: 1 }
    ],
    desks: ['luzern', 'zug', 'neuenburg'].map(failureDomain => ({ failureDomain, region: failureDomain === 'neuenburg' ? 'west' : 'zentral', count: 1 })),
    domainDelayMs: 1,
    regionDelayMs: 12
  },
  {
    name: 'mooring desk',
    engines: [
      { failureDomain: 'split-quay', region: 'dalmatia', count: 6 },
      { failureDomain: 'zadar-pier', region: 'dalmatia', count: 5 },
      { failureDomain: 'osijek-dock', region: 'slavonia', count: 2 }
    ],
    desks: [
      { failureDomain: 'split-quay', region: 'dalmatia', count: 5 },
      { failureDomain: 'zadar-pier', region: 'dalmatia', count: 4 },
      { failureDomain: 'osijek-dock', region: 'slavonia', count: 2 }
    ],
    domainDelayMs: 0.5,
    regionDelayMs: 12
  }
]

/** Concurrent requests of one engine. */
export const ENGINE_SLOTS = 8
const SHORT_SLOTS = 1
const ENTRIES = 2
const HEARTBEAT_MS = 1_000
const TICK_MS = 100

/** One call of a workload. */
export interface CallRequest {
  readonly service: 'engine' | 'desk'
  readonly workspace: string
  readonly work: Work
  readonly attainedTokens: number
  readonly warmTargets: readonly string[]
  readonly isInProgress: boolean
  readonly deadline: number
}

/** Completion of a call, by a response or a refusal. */
export interface CallCompletion {
  readonly isAnswered: boolean
  readonly target: string
  readonly cachedTokens: number
  readonly endedAt: number
}

interface EntryView {
  readonly directory: TargetDirectory
  readonly shares: WorkspaceShares
  readonly selector: TargetSelector
}

interface RunningCall {
  readonly call: CallRequest
  readonly onEnd: (completion: CallCompletion) => void
  readonly entry: EntryView
}

/** Runs the real core of the entries and of every sidecar over virtual targets. */
export class Deployment {
  readonly targets = new Map<string, VirtualTarget>()
  refusals = 0
  private readonly _entries: EntryView[] = []
  private readonly _cores = new Map<string, SidecarCore>()
  private readonly _instances: Instance[] = []
  private readonly _running = new Map<string, RunningCall>()
  private _nextCall = 0

  constructor (private readonly _timeline: Timeline, private readonly _shape: DeploymentShape, policy: Policy) {
    for (const group of _shape.engines) this._addTargets('engine', group, policy)
    for (const group of _shape.desks) this._addTargets('desk', group, policy)
    for (let index = 0; index < ENTRIES; index++) this._entries.push(createEntry(policy, _shape, this._instances))
    this._recordHeartbeats()
    this._tick()
  }

  /** Makes a call; the callback is also called when the entry refuses the call before a dispatch. */
  call (call: CallRequest, onEnd: (completion: CallCompletion) => void): void {
    const now = this._timeline.clock.now()
    const entry = this._entries[this._nextCall % ENTRIES]!
    const attempt = `session/${this._nextCall++}#1`
    const selected = entry.selector.select(toSelection(call), now)
    if (selected.isLeft()) return this._refuse(onEnd)
    const { id, incarnation } = selected.unsafeCoerce()
    entry.directory.recordDispatch(id)
    entry.shares.add(call.workspace)
    this._running.set(attempt, { call, onEnd, entry })
    this._timeline.after(this._getDelay(id), () => { this._dispatch(id, attempt, incarnation, call) })
  }

  /** Evicts the cached prefix of a finished session from all targets. */
  release (session: string): void {
    for (const target of this.targets.values()) target.release(session)
  }

  private _refuse (onEnd: (completion: CallCompletion) => void): void {
    this.refusals++
    onEnd({ isAnswered: false, target: '', cachedTokens: 0, endedAt: this._timeline.clock.now() })
  }

  private _dispatch (id: string, attempt: string, incarnation: string, call: CallRequest): void {
    const now = this._timeline.clock.now()
    const dispatch = toDispatch(attempt, incarnation, id, call, now)
    const { claim } = dispatch
    const claims = {
      purpose: 'dispatch', entry: 'e', attempt, ledgerKey: dispatch.ledgerKey, epoch: 1, incarnation, configVersion: 1, issuedAt: now, bodyDigest: ''
    } as const
    this._cores.get(id)!.dispatch(claims, dispatch).caseOf({
      Left: () => { this._end(claim.target, attempt, undefined) },
      Right: effects => {
        this._perform(id, effects)
        this._recordLoad(id, attempt)
      }
    })
  }

  private _perform (id: string, effects: readonly SidecarEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'start') this._start(id, effect.attempt)
      else if (effect.type === 'abort') this.targets.get(id)!.abort(effect.attempt)
      else if (effect.type === 'ended') this._timeline.after(this._getDelay(id), () => { this._onEnded(id, effect.attempt) })
    }
  }

  private _start (id: string, attempt: string): void {
    const core = this._cores.get(id)!
    const { work } = this._running.get(attempt)!.call
    this.targets.get(id)!.start(attempt, work, {
      onToken: () => { this._perform(id, core.addTokens(attempt, 1)) },
      onEnd: cachedTokens => {
        const answer = { status: 200, contentType: '', text: '', tokens: 0, finish: 'stop' }
        this._perform(id, core.onRunEnded(attempt, { type: 'complete', answer, cachedTokens, promptTokens: work.promptTokens }))
      }
    })
  }

  private _onEnded (id: string, attempt: string): void {
    const core = this._cores.get(id)!
    const result = core.getResult(attempt)!
    core.acknowledge(attempt)
    this._recordLoad(id, attempt)
    this._end(id, attempt, result)
  }

  /** Records the load of a target at the entry, as every response of a target includes it. */
  private _recordLoad (id: string, attempt: string): void {
    const { directory } = this._running.get(attempt)!.entry
    directory.recordLoad(id, this._cores.get(id)!.getLoad(), this._timeline.clock.now())
  }

  private _end (id: string, attempt: string, result: RunResult | undefined): void {
    const { call, onEnd, entry } = this._running.get(attempt)!
    this._running.delete(attempt)
    entry.directory.recordCompletion(id)
    entry.shares.remove(call.workspace)
    const isAnswered = result?.outcome === 'complete'
    if (isAnswered) recordRun(entry.directory, id, result)
    onEnd({ isAnswered, target: id, cachedTokens: result?.cachedTokens ?? 0, endedAt: this._timeline.clock.now() })
  }

  private _getDelay (id: string): number {
    const instance = this._instances.find(candidate => candidate.id === id)!
    const callerLocation = this._shape.engines[0]!
    if (instance.region !== callerLocation.region) return this._shape.regionDelayMs
    return instance.failureDomain === callerLocation.failureDomain ? 0 : this._shape.domainDelayMs
  }

  private _addTargets (service: 'engine' | 'desk', group: { failureDomain: string, region: string, count: number }, policy: Policy): void {
    for (let index = 0; index < group.count; index++) {
      const id = `${service}-${group.failureDomain}-${index}`
      const shortSlots = service === 'engine' ? SHORT_SLOTS : 0
      const queue = policy === Policy.Ours
        ? new LeastAttainedQueue({ slots: ENGINE_SLOTS, shortSlots, maxQueued: 10_000 })
        : new FifoQueue(ENGINE_SLOTS)
      this.targets.set(id, new VirtualTarget(id, service === 'engine', this._timeline))
      this._cores.set(id, new SidecarCore({ incarnation: id, clock: this._timeline.clock, slots: ENGINE_SLOTS, queue }))
      this._instances.push({ id, role: 'target', service, region: group.region, failureDomain: group.failureDomain, url: id, state: 'live' })
    }
  }

  private _recordHeartbeats (): void {
    for (const { directory } of this._entries) {
      for (const [id, core] of this._cores) directory.recordLoad(id, core.getLoad(), this._timeline.clock.now())
    }
    this._timeline.after(HEARTBEAT_MS, () => { this._recordHeartbeats() })
  }

  private _tick (): void {
    for (const [id, core] of this._cores) this._perform(id, core.tick())
    this._timeline.after(TICK_MS, () => { this._tick() })
  }
}

function createEntry (policy: Policy, shape: DeploymentShape, instances: readonly Instance[]): EntryView {
  const directory = new TargetDirectory()
  directory.setInstances(instances)
  const shares = new WorkspaceShares(() => 1)
  return { directory, shares, selector: createSelector(policy, directory, shape, shares) }
}

function createSelector (policy: Policy, directory: TargetDirectory, shape: DeploymentShape, shares: WorkspaceShares): TargetSelector {
  if (policy === Policy.RoundRobin) return new RoundRobinSelector(directory)
  if (policy === Policy.LeastOutstanding) return new LeastOutstandingSelector(directory)
  const { region, failureDomain } = shape.engines[0]!
  return new CostSelector({ directory, region, failureDomain, shares, linkDelayMs: shape.regionDelayMs })
}

function recordRun (directory: TargetDirectory, id: string, result: RunResult): void {
  const uncachedTokens = result.promptTokens - result.cachedTokens
  const expectedMs = Math.max(1, result.answer.tokens) * ASSUMED_MS_PER_TOKEN + uncachedTokens * PREFILL_MS_PER_TOKEN
  directory.recordRun(id, result.endedAt - result.startedAt, expectedMs, result.endedAt)
}

function toSelection (call: CallRequest): SelectionRequest {
  return {
    service: call.service,
    workspace: call.workspace,
    affinityKey: call.work.session,
    warmTargets: call.warmTargets,
    promptTokens: call.work.promptTokens,
    maxTokens: call.work.maxTokens,
    isInProgress: call.isInProgress,
    deadline: call.deadline,
    excluded: new Set()
  }
}

function toDispatch (attempt: string, incarnation: string, target: string, call: CallRequest, now: number): Dispatch {
  const claim: Claim = {
    attempt,
    epoch: 1,
    call: 1,
    requestDigest: '',
    repeatable: true,
    target,
    incarnation,
    claimer: 'e',
    claimedAt: now,
    deadline: call.deadline,
    reservedTokens: call.work.maxTokens,
    mayHaveRun: false,
    tries: 1
  }
  return {
    claim,
    ledgerKey: attempt.slice(0, -2),
    workspace: call.workspace,
    service: call.service,
    operation: '',
    contentType: '',
    body: '',
    kind: call.service === 'engine' ? 'model' : 'service',
    attainedTokens: call.attainedTokens,
    promptTokens: call.work.promptTokens,
    messages: [],
    holdKey: ''
  }
}
