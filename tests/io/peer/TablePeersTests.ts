import { TRPCClientError } from '@trpc/client'
import { expect } from 'earl'
import type { Peer } from '../../../src/core/peer/index.js'
import { StoreFailure } from '../../../src/core/platform/index.js'
import { TablePeers, type PeerPool } from '../../../src/io/peer/index.js'

const PEERS: Peer[] = ['a', 'b', 'c', 'd'].map(id => ({ id, address: `${id}:1`, failureDomain: 'here' }))

describe('TablePeers', () => {
  /** Response of each peer: a version of the store, or the message of its error; a peer that is not listed does not respond. */
  let responses: Record<string, number | string>
  let asked: string[]

  beforeEach(() => { asked = [] })

  it('should read through the peer that reaches the store, and ask no more than three', async () => {
    responses = { a: StoreFailure.Refused, c: 7 }
    expect(await create().read('targets')).toEqual({ type: 'read', snapshot: { rows: [], version: 7 } })
    expect(asked).toEqual(['a', 'b', 'c'])
  })

  it('should tell an outage, which a peer reports, from peers that do not respond', async () => {
    responses = { b: StoreFailure.NoResponse }
    expect(await create().read('targets')).toEqual({ type: 'away' })
    responses = {}
    expect(await create().read('targets')).toEqual({ type: 'unreached' })
  })

  it('should not take another error of a peer for an outage', async () => {
    responses = { a: 'fetch failed', b: StoreFailure.Rejected }
    expect(await create().read('targets')).toEqual({ type: 'unreached' })
  })

  function create (): TablePeers {
    const pool = {
      call: async (id, _options, call) => {
        asked.push(id)
        const response = responses[id]
        if (response === undefined) return undefined
        const mutate = async (): Promise<unknown> => {
          if (typeof response === 'string') throw new TRPCClientError(response)
          return { rows: [], version: response }
        }
        const procedures = { read: { mutate } } as unknown as Parameters<typeof call>[0]
        return await call(procedures, { signal: new AbortController().signal }).catch(() => undefined)
      }
    } satisfies Pick<PeerPool, 'call'>
    return new TablePeers({ pool, ranking: { getCandidates: count => PEERS.slice(0, count) }, clock: { now: () => 0 } })
  }
})
