import { expect } from 'earl'
import { Clock } from '../../../src/core/clock/index.js'
import { PeerPool, type PeerCall } from '../../../src/io/peer/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'

class ManualClock extends Clock {
  time = 0

  now (): number {
    return this.time
  }
}

describe('PeerPool', () => {
  let clock: ManualClock
  let pool: PeerPool

  beforeEach(() => {
    clock = new ManualClock()
    pool = new PeerPool({ clock, log: new DecisionLog({ process: 'test', id: 'a', isSilent: true }) })
    pool.setPeers([{ id: 'b', address: '127.0.0.1:9', failureDomain: 'here' }])
  })

  const succeed: PeerCall<string> = async () => 'done'
  const fail: PeerCall<string> = async () => { throw new Error('failed') }
  const call = async (peerCall: PeerCall<string>, ignoresBackoff = false): Promise<string | undefined> => {
    return await pool.call('b', { subject: 'program', ignoresBackoff }, peerCall)
  }

  it('should not call a peer that failed, for twice as long after each further failure', async () => {
    expect(await call(fail)).toEqual(undefined)
    clock.time = 999
    expect(await call(succeed)).toEqual(undefined)
    clock.time = 1_000
    expect(await call(fail)).toEqual(undefined)
    clock.time = 2_999
    expect(await call(succeed)).toEqual(undefined)
    clock.time = 3_000
    expect(await call(succeed)).toEqual('done')
  })

  it('should forget earlier failures after a success', async () => {
    for (clock.time of [0, 1_000, 3_000]) await call(fail)
    clock.time = 7_000
    expect(await call(succeed)).toEqual('done')
    await call(fail)
    clock.time = 8_000
    expect(await call(succeed)).toEqual('done')
  })

  // A loan that is not settled counts in full, so its settlement is sent to a peer that failed a moment ago too.
  it('should call a peer that failed recently if asked to', async () => {
    await call(fail)
    expect(await call(succeed, true)).toEqual('done')
  })

  it('should not call an unknown peer', async () => {
    expect(await pool.call('c', { subject: 'program' }, succeed)).toEqual(undefined)
  })
})
