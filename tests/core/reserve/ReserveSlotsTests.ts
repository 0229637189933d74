import { expect } from 'earl'
import { decodeHolders, planClaims, RESERVE_SLOTS } from '../../../src/core/reserve/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const GATEWAYS = ['a', 'b', 'c', 'd']

describe('planClaims', () => {
  it('should give each slot one holder in whatever order and however often gateways claim', async () => {
    const store = new MemoryRowStore()
    for (const id of ['c', 'a', 'd', 'b', 'a']) await claim(store, id, GATEWAYS)
    const holders = await read(store)
    expect(holders.size).toEqual(RESERVE_SLOTS)
    for (const id of GATEWAYS) expect([...holders.values()].filter(holder => holder === id).length > RESERVE_SLOTS / 8).toEqual(true)
  })

  it('should never reassign a slot, even when gateways have different lists of peers', async () => {
    const store = new MemoryRowStore()
    await claim(store, 'a', ['a', 'b'])
    const before = await read(store)
    await claim(store, 'c', ['c'])
    await claim(store, 'b', GATEWAYS)
    const after = await read(store)
    for (const [slot, holder] of before) expect(after.get(slot)).toEqual(holder)
    expect(after.size).toEqual(RESERVE_SLOTS)
  })

  const read = async (store: MemoryRowStore): Promise<ReadonlyMap<string, string>> => {
    return decodeHolders((await store.read({ table: 'reserves', part: '' })).rows)
  }

  const claim = async (store: MemoryRowStore, id: string, gateways: readonly string[]): Promise<void> => {
    for (const transaction of planClaims(id, gateways, await read(store))) await store.commit(transaction)
  }
})
