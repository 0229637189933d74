import { expect } from 'earl'
import { CostPlacement, TargetState } from '../../../src/core/target/index.js'

/** Tokens that each engine has memory for. */
const MEMORY_TOKENS = 120_000

const ENGINES = 4

/** Milliseconds for which a turn holds its tokens. */
const TURN_MS = 1_000

/** How the turns of a replay ended. */
interface MemoryReplay {
  /** Turns that an engine has refused for lack of memory at least once. */
  refused: number
  /** Turns that no engine had memory for, by size. */
  readonly failed: Record<number, number>
  readonly turns: Record<number, number>
}

function createEngine (id: string, failureDomain: string, memoryTokens: number | undefined): TargetState {
  const base = { bornAt: 1, service: 'model', softwareVersion: 'v1', address: '10.0.0.1:80', isLeaving: false, slots: 48 }
  return new TargetState({ ...base, id, failureDomain }, undefined, () => memoryTokens)
}

/** Replays small and large turns through gateways, at engines that refuse what exceeds their memory. */
function replayTurns (perSecond: number, statesMemory: boolean, gateways = 1): MemoryReplay {
  const memoryTokens = statesMemory ? MEMORY_TOKENS : undefined
  const views = Array.from({ length: gateways }, () => Array.from({ length: ENGINES }, (_, at) =>
    createEngine(`e${at}`, at % 2 === 0 ? 'here' : 'near', memoryTokens)))
  let seed = 1
  const random = (): number => (seed = seed * 16_807 % 2_147_483_647) / 2_147_483_647
  const policy = new CostPlacement({ failureDomain: 'here', regions: { here: 'home', near: 'home' }, random })
  const running: Array<{ state: TargetState, tokens: number, end: number }> = []
  const result: MemoryReplay = { refused: 0, failed: {}, turns: {} }
  for (let at = 0; at < 20 * perSecond; at++) {
    const now = at * 1_000 / perSecond
    for (const turn of running.filter(({ end }) => end <= now)) {
      turn.state.recordCompletion(now, turn.tokens)
      running.splice(running.indexOf(turn), 1)
    }
    const states = views[Math.floor(random() * gateways)]!
    const tokens = at % 10 === 9 ? 30_000 : 3_000
    result.turns[tokens] = (result.turns[tokens] ?? 0) + 1
    const excluded = new Set<string>()
    for (;;) {
      const req = { promptTokens: 0, heldTokens: tokens, promptSegments: [], excluded, warmTarget: undefined, isRepeatable: true }
      const state = policy.select(states, req, now)?.state
      if (state === undefined) break
      const held = running.reduce((sum, turn) => turn.state.target.id === state.target.id ? sum + turn.tokens : sum, 0)
      if (held + tokens <= MEMORY_TOKENS) {
        state.recordStart(0, now, tokens)
        running.push({ state, tokens, end: now + TURN_MS })
        break
      }
      state.recordFull(tokens, now)
      excluded.add(state.incarnation)
    }
    if (excluded.size > 0) result.refused++
    if (excluded.size === ENGINES) result.failed[tokens] = (result.failed[tokens] ?? 0) + 1
  }
  return result
}

describe('placement by the memory of engines', () => {
  // Of 1,600 turns 1,118 were first sent to an engine without memory for them while another one had enough.
  it('should send no turn to an engine that it fills while another one has memory for it', () => {
    for (const perSecond of [50, 65, 80]) {
      const { refused, failed } = replayTurns(perSecond, true)
      expect([perSecond, refused, failed]).toEqual([perSecond, 0, {}])
      expect(replayTurns(perSecond, false).refused).toBeGreaterThan(0)
    }
  })

  // A gateway that counts only its own turns sees hardly anything of what the others send.
  it('should learn from refusals what the turns of other gateways hold', () => {
    for (const [perSecond, largest] of [[50, 0.4], [80, 0.6]] as const) {
      expect(replayTurns(perSecond, true, 4).refused).toBeLessThan(replayTurns(perSecond, false, 4).refused * largest)
    }
    expect(replayTurns(50, true, 23).refused).toBeLessThan(replayTurns(50, false, 23).refused * 0.4)
  })

  it('should send small requests to an engine that has refused a large one, and large ones again after a while', () => {
    const engine = createEngine('e', 'here', MEMORY_TOKENS)
    engine.recordFull(30_000, 0)
    expect([3_000, 15_000, 16_000, 30_000].map(tokens => engine.hasMemory(tokens, 0))).toEqual([true, true, false, false])
    expect(engine.hasMemory(30_000, 1_000)).toEqual(true)
  })

  it('should still send turns when all engines would be filled, and serve large ones at least half as often as small ones', () => {
    for (const gateways of [1, 4, 23]) {
      const { turns, failed } = replayTurns(90, true, gateways)
      const [small, large] = [3_000, 30_000].map(tokens => 1 - (failed[tokens] ?? 0) / turns[tokens]!)
      expect(large!).toBeGreaterThan(small! / 2)
    }
  })
})
