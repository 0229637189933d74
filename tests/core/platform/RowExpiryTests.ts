import { expect } from 'earl'
import { EXPIRY_MARGIN_MS, RowExpiry, ROWS_PER_TRANSACTION } from '../../../src/core/platform/index.js'

describe('RowExpiry', () => {
  const toKey = (part: string, key: string) => ({ table: 'turns', part, key })

  it('should keep a turn for its retention and a margin', () => {
    const expiry = new RowExpiry()
    expiry.add([toKey('1', 'a/0000')], 60_000, 0)
    expect(expiry.pollExpired(60_000 + EXPIRY_MARGIN_MS - 1)).toEqual([])
    expect(expiry.pollExpired(60_000 + EXPIRY_MARGIN_MS)).toEqual([toKey('1', 'a/0000')])
    expect(expiry.pollExpired(1e9)).toEqual([])
  })

  it('should return the rows of one partition at a time, as many as fit in a transaction', () => {
    const expiry = new RowExpiry()
    for (let at = 0; at < 130; at++) expiry.add([toKey(String(at % 2), `t${at}/0000`), toKey(String(at % 2), `t${at}/0001`)], 0, 0)
    const sizes: number[] = []
    for (let keys = expiry.pollExpired(1e9); keys.length > 0; keys = expiry.pollExpired(1e9)) {
      expect(new Set(keys.map(key => key.part)).size).toEqual(1)
      sizes.push(keys.length)
    }
    expect(sizes).toEqual([ROWS_PER_TRANSACTION, ROWS_PER_TRANSACTION, 30, 30])
  })
})
