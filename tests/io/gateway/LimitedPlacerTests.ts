import { expect } from 'earl'
import { ManualClock } from '../../../src/core/clock/index.js'
import type { CallRequest } from '../../../src/core/forward/index.js'
import { RouteKind, type Route } from '../../../src/core/route/index.js'
import { CostPlacement, TargetRegistry, type LimitStatement, type TargetState } from '../../../src/core/target/index.js'
import { GatewayMetrics, LimitedPlacer, Placer, type LimitedPlacement, type LimitedPlaceRequest } from '../../../src/io/gateway/index.js'
import type { PermitAnswer } from '../../../src/io/peer/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'

const CALL: CallRequest = {
  id: 'r',
  method: 'POST',
  requestTarget: '/',
  path: '/',
  host: 'h',
  headers: [],
  timeoutMs: undefined,
  affinityKey: undefined,
  program: undefined,
  promptTokens: 0,
  maxOutputTokens: 0,
  promptSegments: [],
  previousTurn: undefined,
  apiKey: undefined,
  lastEventId: undefined,
  resumedStream: undefined
}

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: RouteKind.Streaming,
  backends: [{ service: 's', weight: 1 }],
  timeoutMs: 5_000,
  objectiveMs: 300,
  priority: 0,
  maxAttempts: 1,
  isPublic: false,
  isRetained: false,
  retentionMs: 0,
  isResumable: false,
  maxGapMs: 300
}

describe('LimitedPlacer', () => {
  let clock: ManualClock
  let registry: TargetRegistry
  let answers: PermitAnswer[]
  let asked: Array<{ target: string, maxWaitMs: number }>
  /** Milliseconds that pass while a lender is asked. */
  let askMs: number
  let onAsk: () => void

  beforeEach(() => {
    clock = new ManualClock(1_000)
    registry = new TargetRegistry()
    for (const [id, failureDomain] of [['near', 'a'], ['far', 'b']] as const) {
      registry.set({ id, bornAt: 1, service: 's', softwareVersion: 'v1', address: `${id}:1`, failureDomain, isLeaving: false, slots: 8 })
    }
    answers = []
    asked = []
    askMs = 0
    onAsk = () => {}
  })

  const getState = (id: string): TargetState => registry.find(`${id}@1`)!
  const limit = (id: string): void => { getState(id).limit.record({ perSecond: 1, sentAt: clock.now(), statedAt: clock.now() }) }

  const createPlacer = (): LimitedPlacer => {
    const policy = new CostPlacement({ failureDomain: 'a', regions: { a: 'r', b: 'r' }, random: () => 0 })
    const permits = {
      request: async (target: { key: string }, _limit: unknown, maxWaitMs: number): Promise<PermitAnswer> => {
        asked.push({ target: target.key, maxWaitMs })
        clock.advanceTo(clock.now() + askMs)
        onAsk()
        return answers.shift() ?? { type: 'unavailable' }
      }
    }
    const log = new DecisionLog({ process: 'test', id: 'a', isSilent: true })
    const limits = { apply: (target: string, statement: LimitStatement) => registry.find(target)!.limit.record(statement) }
    const placer = new Placer({ registry, policy, clock })
    return new LimitedPlacer({ placer, permits, limits, clock, log, metrics: new GatewayMetrics() })
  }

  const place = async (options: Partial<LimitedPlaceRequest> = {}): Promise<LimitedPlacement> => {
    return await createPlacer().place({
      call: CALL, route: ROUTE, excluded: new Set(), warmTarget: undefined, maxWaitMs: 100, isInProgress: true, ...options
    })
  }

  const getTarget = (placed: LimitedPlacement): string => placed.type === 'placed' ? placed.placement.state.target.id : placed.type

  it('should ask for no permit while no target limits its rate', async () => {
    expect(getTarget(await place())).toEqual('near')
    expect(asked).toEqual([])
  })

  it('should use a limited target with a permit, and wait no longer for one than the best other target costs', async () => {
    limit('near')
    answers = [{ type: 'granted', waitMs: 0 }]
    expect(getTarget(await place())).toEqual('near')
    // The other target is in another failure domain, which costs 25 ms.
    expect(asked).toEqual([{ target: 'near@1', maxWaitMs: 25 }])
  })

  // Half of a limit stayed unused: the target was measured slower by less than timers resolve, so that no permit was asked for.
  it('should ask for a permit of a target that was measured a fraction of a millisecond slower', async () => {
    registry.set({ ...getState('far').target, failureDomain: 'a' })
    getState('near').recordResponse(4, clock.now())
    getState('far').recordResponse(1, clock.now())
    limit('near')
    answers = [{ type: 'granted', waitMs: 0 }]
    expect(getTarget(await place())).toEqual('near')
  })

  it('should use a target without a limit when no permit is available, and not ask again before one may be', async () => {
    limit('near')
    answers = [{ type: 'refused', waitMs: 400 }]
    expect(getTarget(await place())).toEqual('far')
    expect(getTarget(await place())).toEqual('far')
    expect(asked.length).toEqual(1)
    clock.advanceTo(clock.now() + 400)
    answers = [{ type: 'granted', waitMs: 0 }]
    expect(getTarget(await place())).toEqual('near')
  })

  it('should state the shortest wait when all targets are limited and have no permit in time', async () => {
    limit('near')
    limit('far')
    answers = [{ type: 'refused', waitMs: 900 }, { type: 'refused', waitMs: 700 }]
    expect(await place()).toEqual({ type: 'limited', waitMs: 700 })
    expect(asked.map(({ maxWaitMs }) => maxWaitMs)).toEqual([100, 100])
    expect(createPlacer().getKnownWait(CALL, ROUTE, 100)).toEqual(700)
    expect(createPlacer().getKnownWait(CALL, ROUTE, 800)).toEqual(undefined)
  })

  it('should send nothing to a limited target without an answer of a lender', async () => {
    limit('near')
    limit('far')
    expect((await place()).type).toEqual('limited')
  })

  it('should use a target whose lender states that its limit has ended', async () => {
    limit('near')
    clock.advanceTo(clock.now() + 500)
    answers = [{ type: 'unlimited', endedAgoMs: 100 }]
    expect(getTarget(await place())).toEqual('near')
    expect(getState('near').limit.getPerSecond()).toEqual(undefined)
  })

  it('should not use a permit for a target that has begun to drain while the request waited for it', async () => {
    limit('near')
    onAsk = () => { registry.set({ ...getState('near').target, isLeaving: true }) }
    answers = [{ type: 'granted', waitMs: 0 }]
    expect(getTarget(await place())).toEqual('far')
  })

  it('should not use a permit for a target that has stated that it is leaving while the request waited for it', async () => {
    limit('near')
    onAsk = () => { registry.recordLeaving('near@1', clock.now()) }
    answers = [{ type: 'granted', waitMs: 0 }]
    expect(getTarget(await place())).toEqual('far')
  })

  // A process that was paused for some seconds acted on a permission that had run out meanwhile.
  it('should not use a permit that arrived or was used too late, because the process was paused', async () => {
    limit('near')
    limit('far')
    askMs = 3_000
    answers = [{ type: 'granted', waitMs: 0 }, { type: 'granted', waitMs: 0 }]
    expect((await place()).type).toEqual('limited')
  })

  // All programs of a service moved to the one target without a limit: each was answered promptly, but so slowly that nearly all were late.
  it('should begin no program at a target that is slow already, while programs in progress go on there', async () => {
    limit('near')
    for (let at = 0; at < 40; at++) getState('far').pace.recordGap(10, clock.now())
    for (let at = 0; at < 100; at++) getState('far').pace.recordGap(80, clock.now())
    answers = [{ type: 'refused', waitMs: 400 }]
    expect(await place({ isInProgress: false })).toEqual({ type: 'overloaded', waitMs: 1_000 })
    expect(getTarget(await place())).toEqual('far')
  })

  it('should find no target when all were tried', async () => {
    expect(await place({ excluded: new Set(['near@1', 'far@1']) })).toEqual({ type: 'no-target' })
  })
})
