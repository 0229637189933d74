import { expect } from 'earl'
import { PARTITION_PENALTY_MS, PartitionHealth } from '../../../src/core/platform/index.js'

describe('PartitionHealth', () => {
  it('should put a partition last that failed, until the penalty is over', () => {
    const health = new PartitionHealth()
    health.recordFailure('a', 0)
    expect(health.sort(['a', 'b', 'c'], PARTITION_PENALTY_MS - 1)).toEqual(['b', 'c', 'a'])
    expect(health.sort(['a', 'b', 'c'], PARTITION_PENALTY_MS)).toEqual(['a', 'b', 'c'])
  })

  it('should put a partition first again with its first response', () => {
    const health = new PartitionHealth()
    health.recordFailure('a', 0)
    health.recordResponse('a')
    expect([health.sort(['a', 'b'], 1), health.hasFailedRecently('a', 1)]).toEqual([['a', 'b'], false])
  })
})
