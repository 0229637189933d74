import { expect } from 'earl'
import { MAX_REMEMBERED_STREAMS, OriginLedger } from '../../../src/core/origin/index.js'

const ORIGIN = { service: 'model', softwareVersion: 'v1' }

describe('OriginLedger', () => {
  it('should remember a stream for its retention time', () => {
    let now = 0
    const ledger = new OriginLedger({ now: () => now })
    ledger.add('r', ORIGIN, 1_000)
    now = 999
    expect(ledger.get('r')).toEqual(ORIGIN)
    now = 1_000
    expect(ledger.get('r')).toEqual(undefined)
  })

  it('should evict the oldest streams when there are too many', () => {
    const ledger = new OriginLedger({ now: () => 0 })
    for (let at = 0; at <= MAX_REMEMBERED_STREAMS; at++) ledger.add(`r-${at}`, ORIGIN, 1_000)
    expect(ledger.get('r-0')).toEqual(undefined)
    expect(ledger.get('r-1')).toEqual(ORIGIN)
  })
})
