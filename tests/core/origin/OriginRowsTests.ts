import { expect } from 'earl'
import { fromOriginRow, getOriginKey, getOriginRange, ORIGIN_PARTITIONS, toOriginRow } from '../../../src/core/origin/index.js'

const ORIGIN = { service: 'model', softwareVersion: 'v1' }

describe('OriginRows', () => {
  it('should decode what it has encoded', () => {
    expect(fromOriginRow({ ...toOriginRow('r-1', ORIGIN), version: 1 })).toEqual(ORIGIN)
  })

  it('should distribute streams over all partitions', () => {
    const parts = Array.from({ length: 100 }, (_, at) => getOriginKey(`r-${at}`).part)
    expect(new Set(parts).size).toEqual(ORIGIN_PARTITIONS)
  })

  it('should get a range that contains the key of the stream but not those of longer ids', () => {
    const { from, to } = getOriginRange('r-1')
    const contained = ['r-1', 'r-10', 'r-1 ', 'r-2'].filter(key => key >= from! && key < to!)
    expect(contained).toEqual(['r-1'])
  })

  it('should keep the key of a long request id within the limit of the store', () => {
    expect(getOriginKey('x'.repeat(200)).key.length).toEqual(200)
    expect(getOriginKey('x'.repeat(201)).key.length).toEqual(40)
  })
})
