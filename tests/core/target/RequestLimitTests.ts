import { expect } from 'earl'
import { RequestLimit } from '../../../src/core/target/index.js'

describe('RequestLimit', () => {
  it('should hold the rate that the target states until a later request gets a response without one', () => {
    const limit = new RequestLimit()
    expect(limit.getPerSecond()).toEqual(undefined)
    expect(limit.record({ perSecond: 2.5, sentAt: 100, statedAt: 150 })).toEqual(true)
    expect(limit.getPerSecond()).toEqual(2.5)
    expect(limit.record({ perSecond: undefined, sentAt: 200, statedAt: 250 })).toEqual(true)
    expect(limit.getPerSecond()).toEqual(undefined)
  })

  it('should not end when the response of an earlier request arrives late', () => {
    const limit = new RequestLimit()
    limit.record({ perSecond: 2.5, sentAt: 100, statedAt: 150 })
    expect(limit.record({ perSecond: undefined, sentAt: 120, statedAt: 160 })).toEqual(false)
    expect(limit.getPerSecond()).toEqual(2.5)
  })

  it('should not begin again when a response from before its end arrives late', () => {
    const limit = new RequestLimit()
    limit.record({ perSecond: 2.5, sentAt: 100, statedAt: 150 })
    limit.record({ perSecond: undefined, sentAt: 200, statedAt: 250 })
    expect(limit.record({ perSecond: 2.5, sentAt: 190, statedAt: 260 })).toEqual(false)
    expect(limit.getPerSecond()).toEqual(undefined)
  })

  it('should ignore a statement of another gateway that is older than the one known', () => {
    const limit = new RequestLimit()
    limit.record({ perSecond: 4, sentAt: 100, statedAt: 150 })
    expect(limit.record({ perSecond: 2, sentAt: 90, statedAt: 140 })).toEqual(false)
    expect(limit.getPerSecond()).toEqual(4)
  })

  it('should report changes of a tenth or more only', () => {
    const limit = new RequestLimit()
    limit.record({ perSecond: 10, sentAt: 100, statedAt: 150 })
    expect(limit.record({ perSecond: 9.5, sentAt: 200, statedAt: 250 })).toEqual(false)
    expect(limit.record({ perSecond: 8, sentAt: 300, statedAt: 350 })).toEqual(true)
    expect(limit.getPerSecond()).toEqual(8)
  })
})
