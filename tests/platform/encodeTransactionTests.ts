import { expect } from 'earl'
import { encodeTransaction } from '../../platform/encodeTransaction.js'

describe('encodeTransaction', () => {
  it('should state the length of the text, for values of any length and in pieces', () => {
    for (const length of [0, 1, 2, 3, 12_287, 12_288, 12_289, 65_536]) {
      const value = Buffer.from(Array.from({ length }, (_, at) => at % 251))
      const key = { table: 'turns', part: '7', key: 'caf\u00e9 "1"/0000' }
      const { length: bytes, parts } = encodeTransaction({
        conditions: [{ ...key, version: 3 }],
        puts: [{ ...key, value }, { ...key, value: [value.subarray(0, 1), value.subarray(1, 1), value.subarray(1)] }],
        removes: [key]
      })
      const text = [...parts].join('')
      expect(Buffer.byteLength(text)).toEqual(bytes)
      expect(JSON.parse(text)).toEqual({
        expectedRev: [{ ...key, rowVersion: 3 }],
        puts: Array(2).fill({ ...key, value: value.toString('base64') }),
        remove: [key]
      })
    }
  })

  it('should encode an empty transaction', () => {
    expect([...encodeTransaction({}).parts].join('')).toEqual('{"expectedRev":[],"puts":[],"remove":[]}')
  })
})
