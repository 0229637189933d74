import { expect } from 'earl'
import { RequestLimit } from '../../../src/core/target/index.js'

describe('RequestLimit', () => {
  it('should hold the rate that the target states until a later request gets a response without one', () => {
    const limit = new RequestLimit()
    expect(limit.getPerSecond()).toEqual(undefined)
    expect(limit.record(2.5, 100, 150)).toEqual(true)
    expect(limit.getPerSecond()).toEqual(2.5)
    expect(limit.record(undefined, 200, 250)).toEqual(true)
    expect(limit.getPerSecond()).toEqual(undefined)
  })

  it('should not end when the response of an earlier request arrives late', () => {
    const limit = new RequestLimit()
    limit.record(2.5, 100, 150)
    expect(limit.record(undefined, 120, 160)).toEqual(false)
    expect(limit.getPerSecond()).toEqual(2.5)
  })

  it('should not begin again when a response from before its end arrives late', () => {
    const limit = new RequestLimit()
    limit.record(2.5, 100, 150)
    limit.record(undefined, 200, 250)
    expect(limit.record(2.5, 190, 260)).toEqual(false)
    expect(limit.getPerSecond()).toEqual(undefined)
  })

  it('should report changes of a tenth or more only', () => {
    const limit = new RequestLimit()
    limit.record(10, 100, 150)
    expect(limit.record(9.5, 200, 250)).toEqual(false)
    expect(limit.record(8, 300, 350)).toEqual(true)
    expect(limit.getPerSecond()).toEqual(8)
  })
})
