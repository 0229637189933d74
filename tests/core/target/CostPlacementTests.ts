import { expect } from 'earl'
import type { PromptSegment } from '../../../src/core/forward/index.js'
import { CostPlacement, TargetState, type Placement, type PlacementPolicy, type Target } from '../../../src/core/target/index.js'

describe('CostPlacement', () => {
  const regions = { here: 'home', near: 'home', far: 'away' }
  const segments: PromptSegment[] = [{ id: 'shared', tokens: 2_500 }, { id: 'conversation', tokens: 1_000 }, { id: 'new', tokens: 100 }]
  const createPolicy = (): PlacementPolicy => new CostPlacement({ failureDomain: 'here', regions, random: () => 0 })

  it('should select the target that has the prompt cached, even in another failure domain', () => {
    const states = [toState('a', 'here'), toState('b', 'near')]
    states[1]!.prefixCache.add(segments)
    expect(place(createPolicy(), states, segments)?.state.target.id).toEqual('b')
  })

  // The turns of a session pass through several gateways: its segment keeps one id and grows with every turn.
  it('should select the warm target of a session served by other gateways, and count the new tokens of its segment as uncached', () => {
    const grown: PromptSegment[] = [{ id: 'shared', tokens: 2_500 }, { id: 'session', tokens: 4_000 }]
    const states = [toState('a', 'here'), toState('b', 'near')]
    for (const state of states) state.prefixCache.add(grown.slice(0, 1))
    expect(place(createPolicy(), states, grown, 0, states[1]!.incarnation)?.state.target.id).toEqual('b')
    states[1]!.prefixCache.add([grown[0]!, { id: 'session', tokens: 3_600 }])
    expect(place(createPolicy(), states, grown)?.inputs.cached).toEqual(6_100)
  })

  it('should prefer a target in its own failure domain when all else is equal', () => {
    const states = [toState('a', 'far'), toState('b', 'near'), toState('c', 'here')]
    expect(place(createPolicy(), states, [])?.state.target.id).toEqual('c')
  })

  it('should avoid a target with pending prefill', () => {
    const states = [toState('a', 'here'), toState('b', 'near')]
    states[0]!.recordStart(100, 0)
    expect(place(createPolicy(), states, [])?.state.target.id).toEqual('b')
    states[0]!.recordPrefillEnd(100)
    expect(place(createPolicy(), states, [])?.state.target.id).toEqual('a')
  })

  it('should avoid an unreachable target until its ejection ends, unless there is no other', () => {
    const states = [toState('a', 'here'), toState('b', 'far')]
    const ejectionMs = states[0]!.recordFailure(0, true)
    expect(place(createPolicy(), states, [], 1)?.state.target.id).toEqual('b')
    expect(place(createPolicy(), [states[0]!], [], 1)?.state.target.id).toEqual('a')
    expect(place(createPolicy(), states, [], ejectionMs)?.state.target.id).toEqual('a')
  })

  it('should select a slowed target again once its observed delay has decayed', () => {
    const states = [toState('a', 'here'), toState('b', 'near')]
    for (let at = 0; at < 5; at++) states[0]!.recordResponse(400, 0)
    expect(place(createPolicy(), states, [], 0)?.state.target.id).toEqual('b')
    expect(place(createPolicy(), states, [], 20_000)?.state.target.id).toEqual('a')
  })

  // All requests of a gateway went to the same one of two idle targets, because its delay was measured a fraction of a millisecond shorter.
  it('should spread requests over equal targets whose observed delays differ by the noise of timers', () => {
    let calls = 0
    const policy = new CostPlacement({ failureDomain: 'here', regions, random: () => calls++ % 10 / 10 })
    const states = [toState('a', 'here'), toState('b', 'here')]
    const chosen = Array.from({ length: 100 }, (_, at) => {
      const { state } = place(policy, states, [], at)!
      state.recordResponse(state === states[0] ? 1.2 : 0.4, at)
      return state
    })
    expect(states.map(state => chosen.filter(other => other === state).length >= 40)).toEqual([true, true])
  })

  // After a power failure of all gateways, programs continue at gateways whose prefix cache trackers are empty.
  // Without the warm target from the store, their prompts would be prefilled again at other targets.
  it('should prefill at most a tenth of the prompt tokens again after a restart, when the store names the warm target of each program', () => {
    const states = Array.from({ length: 6 }, (_, at) => toState(`t${at}`, ['here', 'near', 'far'][at % 3]!))
    const programs = Array.from({ length: 60 }, (_, at) => ({ target: states[at % 6]!, segments: createSegments(at) }))
    let readTokens = 0
    let allTokens = 0
    for (const [at, program] of programs.entries()) {
      const policy = createPolicy()
      const placement = place(policy, states, program.segments, at, program.target.incarnation)!
      const { state, prefillMs } = placement
      state.recordStart(prefillMs, 0)
      const promptTokens = program.segments.reduce((sum, segment) => sum + segment.tokens, 0)
      allTokens += promptTokens
      readTokens += state === program.target ? program.segments.at(-1)!.tokens : promptTokens
      state.recordPrefillEnd(prefillMs)
    }
    expect(readTokens <= 0.1 * allTokens).toEqual(true)
  })
})

function createSegments (program: number): PromptSegment[] {
  return [{ id: `shared-${program % 8}`, tokens: 2_560 }, { id: `conversation-${program}`, tokens: 2_000 }, { id: `new-${program}`, tokens: 200 }]
}

function toState (id: string, failureDomain: string): TargetState {
  const target: Target = { id, bornAt: 1, service: 'model', softwareVersion: 'v1', address: '10.0.0.1:80', failureDomain, isLeaving: false, slots: 48 }
  return new TargetState(target)
}

function place (
  policy: PlacementPolicy, states: TargetState[], segments: PromptSegment[], now = 0, warmTarget?: string, isRepeatable = true
): Placement | undefined {
  const promptTokens = segments.reduce((sum, segment) => sum + segment.tokens, 0)
  return policy.select(states, { promptTokens, promptSegments: segments, excluded: new Set(), warmTarget, isRepeatable }, now)
}
