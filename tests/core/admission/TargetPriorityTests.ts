import { expect } from 'earl'
import { getTargetPriority, PriorityBands, type TargetPriorityRequest } from '../../../src/core/admission/index.js'
import type { RouteConfig } from '../../../src/core/route/index.js'

const toBands = (...priorities: number[]): PriorityBands => {
  const routes = priorities.map(priority => ({ priority, backends: [{ service: 's', weight: 1 }] }))
  return new PriorityBands({ routes } as unknown as RouteConfig)
}

const get = (options: Partial<TargetPriorityRequest> = {}): number => getTargetPriority({
  band: toBands(0, 1, 2).get('s', 1),
  isInProgress: true,
  remainingMs: 20_000,
  workMs: 1_000,
  timeoutMs: 5_000,
  attainedTokens: 4_000,
  waitedMs: 0,
  ...options
})

describe('getTargetPriority', () => {
  // With shared numbers, a new program of priority 0 went behind one of priority 1 in progress.
  it('should state no number of a less urgent priority as one of a more urgent priority, whatever the requests are', () => {
    const numbers = [0, 1, 2].map(priority => {
      const band = toBands(0, 1, 1, 2).get('s', priority)
      return [true, false].flatMap(isInProgress => [-9_000, 100, 90_000].flatMap(remainingMs => [0, 1_500, 60_000].map(waitedMs =>
        get({ band, isInProgress, remainingMs, waitedMs }))))
    })
    expect(numbers.map(list => [Math.min(...list), Math.max(...list)])).toEqual([[0, 2], [3, 5], [6, 9]])
  })

  it('should use all numbers for the only priority of a service, and keep ten and more in order', () => {
    expect(toBands(7).get('s', 7)).toEqual({ first: 0, count: 10 })
    const many = Array.from({ length: 15 }, (_, priority) => priority)
    const numbers = many.map(priority => get({ band: toBands(...many).get('s', priority) }))
    expect(numbers).toEqual([...numbers].sort((a, b) => a - b))
    expect([numbers[0], numbers.at(-1)]).toEqual([0, 9])
  })

  it('should put programs in progress before new ones, and those that can no longer finish within twice their time last', () => {
    const lost = get({ remainingMs: -6_000 })
    expect([get(), get({ isInProgress: false }), lost]).toEqual([3, 4, 5])
    expect(get({ remainingMs: -100 })).toEqual(3)
  })

  // Programs preempted for their length would be preempted again each time that they return.
  it('should never count attained service against a program', () => {
    const band = toBands(0).get('s', 0)
    const numbers = [0, 2_000, 8_000, 64_000].map(attainedTokens => get({ band, attainedTokens }))
    expect(numbers).toEqual([...numbers].sort((a, b) => b - a))
    expect(numbers[0]! > numbers.at(-1)!).toEqual(true)
  })

  it('should make a request more urgent the less time it has, and the longer it has waited', () => {
    const band = toBands(0).get('s', 0)
    expect(get({ band, remainingMs: 1_100 }) < get({ band, remainingMs: 60_000 })).toEqual(true)
    expect(get({ band, isInProgress: false, waitedMs: 2_000 })).toEqual(0)
  })
})
