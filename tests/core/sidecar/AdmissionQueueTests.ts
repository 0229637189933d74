import { expect } from 'earl'
import { LeastAttainedQueue, SHORT_CALL_TOKENS, type QueuedCall } from '../../../src/core/sidecar/index.js'

describe('LeastAttainedQueue', () => {
  function createCall (attempt: string, overrides: Partial<QueuedCall> = {}): QueuedCall {
    return { attempt, workspace: 'w', attainedTokens: 0, maxTokens: 1_000, queuedAt: 0, ...overrides }
  }

  /** Adds requests, admits as many as get a slot, and checks which ones in which order. */
  function doTest (
    calls: readonly QueuedCall[], options: { slots?: number, shortSlots?: number, now?: number }, expected: readonly string[]
  ): void {
    const queue = new LeastAttainedQueue({ slots: options.slots ?? 9, shortSlots: options.shortSlots ?? 0, maxQueued: 99 })
    for (const call of calls) queue.add(call)
    const admitted: string[] = []
    for (
      let next = queue.admitNext(options.now ?? 0);
      next !== undefined;
      next = queue.admitNext(options.now ?? 0)
    ) admitted.push(next.attempt)
    expect(admitted).toEqual([...expected])
  }

  it('should admit the session with the least attained service first', () => {
    doTest([createCall('old', { attainedTokens: 5_000 }), createCall('new'), createCall('middle', { attainedTokens: 900 })], {}, ['new', 'middle', 'old'])
  })

  it('should not starve a long session', () => {
    doTest([createCall('straggler', { attainedTokens: 5_000 }), createCall('new', { queuedAt: 20_000 })], { now: 20_000 }, ['straggler', 'new'])
  })

  it('should reserve a slot for short requests', () => {
    const long = [createCall('a'), createCall('b'), createCall('c')]
    doTest([...long, createCall('short', { maxTokens: SHORT_CALL_TOKENS, attainedTokens: 9_999 })], { slots: 3, shortSlots: 1 }, ['a', 'b', 'short'])
  })

  it('should share slots fairly between workspaces', () => {
    const busy = [createCall('a'), createCall('b'), createCall('c')]
    doTest([...busy, createCall('other', { workspace: 'v', attainedTokens: 100 })], { slots: 2 }, ['a', 'other'])
  })
})
