import { expect } from 'earl'
import type { RowSnapshot } from '../../../src/core/platform/index.js'
import { ListConfirmation } from '../../../src/io/gateway/index.js'
import type { PeerRead } from '../../../src/io/peer/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'

const SNAPSHOT: RowSnapshot = { rows: [], version: 7 }

describe('ListConfirmation', () => {
  let confirmedAt: number
  let directReads: number
  let peerReads: number
  /** Milliseconds after which the store responds; undefined while it does not. */
  let directMs: number | undefined
  let peerRead: PeerRead
  let isStoreUnavailable: boolean
  let applied: RowSnapshot[]

  beforeEach(() => {
    confirmedAt = -Infinity
    directReads = 0
    peerReads = 0
    directMs = 0
    peerRead = { type: 'read', snapshot: SNAPSHOT }
    isStoreUnavailable = false
    applied = []
  })

  it('should read the list once for all streams that go on together, and ask no peer while the store responds', async () => {
    const confirmation = create()
    expect(await Promise.all([1, 2, 3].map(async () => await confirmation.confirm()))).toEqual([true, true, true])
    expect([directReads, peerReads]).toEqual([1, 0])
  })

  it('should not count a read that began earlier', async () => {
    const confirmation = create()
    await confirmation.confirm()
    await confirmation.confirm()
    expect(directReads).toEqual(2)
  })

  // Streams went on at a target that had started again under its id, until the watch of a silent connection had timed out.
  it('should apply what a peer reads while the connection to the store is silent', async () => {
    directMs = undefined
    expect(await create().confirm()).toEqual(true)
    expect(applied).toEqual([SNAPSHOT])
  })

  it('should use the list while peers do not reach the store either', async () => {
    directMs = undefined
    peerRead = { type: 'away' }
    expect(await create().confirm()).toEqual(true)
    expect(applied).toEqual([])
  })

  it('should not use the list while neither the store nor a peer responds, until the store is known to be unavailable', async () => {
    directMs = undefined
    peerRead = { type: 'unreached' }
    expect(await create().confirm()).toEqual(false)
    isStoreUnavailable = true
    expect(await create().confirm()).toEqual(true)
  })

  it('should use a late response of the store if no peer responds', async () => {
    directMs = 200
    peerRead = { type: 'unreached' }
    expect(await create().confirm()).toEqual(true)
  })

  function create (): ListConfirmation {
    const clock = { now: () => performance.now() }
    return new ListConfirmation({
      watch: {
        isConfirmedSince: time => confirmedAt >= time,
        confirm: async () => {
          directReads++
          const startedAt = clock.now()
          await new Promise(resolve => setTimeout(resolve, directMs ?? 300))
          if (directMs !== undefined) confirmedAt = startedAt
        },
        applyRead: (snapshot, startedAt) => {
          applied.push(snapshot)
          confirmedAt = startedAt
        }
      },
      table: 'targets',
      peers: {
        read: async () => {
          peerReads++
          return peerRead
        }
      },
      clock,
      log: new DecisionLog({ process: 'test', id: 'test', isSilent: true }),
      isStoreUnavailable: () => isStoreUnavailable
    })
  }
})
