import { expect } from 'earl'
import { getSuspectDigest, SuspectList, toSuspectRow } from '../../../src/core/suspect/index.js'

describe('SuspectList', () => {
  it('should refuse a request that crashed three incarnations of targets, whichever gateways recorded it', () => {
    const list = new SuspectList()
    expect(list.add('d', 'i-1@1')).toEqual(false)
    expect(list.addRow(toSuspectRow('d', 'i-1@2'))).toEqual(false)
    expect(list.isRefused('d')).toEqual(false)
    expect(list.addRow(toSuspectRow('d', 'i-2@1'))).toEqual(true)
    expect(list.isRefused('d')).toEqual(true)
  })

  it('should count an incarnation once', () => {
    const list = new SuspectList()
    for (let at = 0; at < 5; at++) list.add('d', 'i-1@1')
    expect(list.isRefused('d')).toEqual(false)
  })

  it('should not track requests without a body, which are identical for many callers', () => {
    expect(getSuspectDigest('h', '/lookup/', undefined)).toEqual(undefined)
    expect(new SuspectList().isRefused(undefined)).toEqual(false)
    expect(getSuspectDigest('h', '/a', Buffer.from('x')) === getSuspectDigest('h', '/a', Buffer.from('y'))).toEqual(false)
  })
})
