import { expect } from 'earl'
import type { PromptSegment } from '../../../src/core/forward/index.js'
import { CacheSource, CostPlacement, TargetState, type Target } from '../../../src/core/target/index.js'
import { CacheLearner } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'

const SEGMENTS: PromptSegment[] = [{ id: 'shared', tokens: 2_560 }, { id: 'own', tokens: 4_000 }]

class FakeCaches extends CacheSource {
  async list (target: Target): Promise<PromptSegment[]> {
    if (target.id === 'silent') throw new Error('no response')
    return target.id === 'warm' ? SEGMENTS : []
  }
}

describe('CacheLearner', () => {
  // After a restart of all gateways the programs in progress retry at any gateway, which has no record of the targets' caches.
  it('should place programs from before a restart at the target that has cached their prompts', async () => {
    const states = ['cold', 'silent', 'warm'].map(createState)
    const log = new DecisionLog({ process: 'test', id: 'a', isSilent: true })
    let isKnown = false
    const learner = new CacheLearner({ source: new FakeCaches(), log, getTargets: () => isKnown ? states : undefined })
    const learning = learner.learn()
    isKnown = true
    await learning
    const policy = new CostPlacement({ failureDomain: 'here', regions: { here: 'home' }, random: () => 0 })
    const work = { promptTokens: 6_600, promptSegments: [...SEGMENTS, { id: 'new', tokens: 40 }], excluded: new Set<string>(), warmTarget: undefined, isRepeatable: true }
    expect(policy.select(states, work, 0)?.state.target.id).toEqual('warm')
  })
})

function createState (id: string): TargetState {
  return new TargetState({ id, bornAt: 1, service: 'model', softwareVersion: 'v1', address: '127.0.0.1:9', failureDomain: 'here', isLeaving: false, slots: 8 })
}
