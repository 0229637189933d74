import { expect } from 'earl'
import { HOLD_LEASE_MS, HoldTable } from '../../../src/core/sidecar/HoldTable.js'

describe('HoldTable', () => {
  it('should release the hold of a closed session when its last call has ended', () => {
    const holds = new HoldTable()
    holds.addUse('s')
    holds.addUse('s')
    expect(holds.endLease('s')).toEqual(false)
    holds.removeUse('s', 1_000)
    expect(holds.isReleasePending('s')).toEqual(false)
    holds.removeUse('s', 1_000)
    expect(holds.isReleasePending('s')).toEqual(true)
    expect(holds.endLease('s')).toEqual(true)
  })

  it('should keep the hold of an open session for its lease', () => {
    const holds = new HoldTable()
    holds.addUse('s')
    holds.removeUse('s', 1_000)
    expect(holds.isReleasePending('s')).toEqual(false)
    expect(holds.removeExpired(1_000 + HOLD_LEASE_MS - 1)).toEqual([])
    expect(holds.removeExpired(1_000 + HOLD_LEASE_MS)).toEqual(['s'])
  })
})
