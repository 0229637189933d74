import { expect } from 'earl'
import { LedgerHandover, type LedgerHandoverOptions } from '../../../src/io/peer/index.js'
import { DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const clock = new SteadyClock()

const STATE = { p: { spent: 30, isClosed: false } }

describe('LedgerHandover', () => {
  let store: MemoryRowStore
  beforeEach(() => { store = new MemoryRowStore() })

  it('should give the state that a process left to the next one, once', async () => {
    await createHandover('first').leave(STATE, clock.now() + 1_000)
    expect(await createHandover('second').take()).toEqual(STATE)
    expect(await createHandover('third').take()).toEqual(undefined)
  })

  it('should give no state after a process that left none', async () => {
    expect(await createHandover('second').take()).toEqual(undefined)
  })

  // The store may apply a commit without a response seconds later, when the next process has already lent tokens.
  it('should not apply a late write of an earlier process', async () => {
    const first = createHandover('first')
    await createHandover('second').take()
    await first.leave(STATE, clock.now() + 1_000)
    expect(await createHandover('third').take()).toEqual(undefined)
  })

  it('should give the state when the response to taking it was lost', async () => {
    await createHandover('first').leave(STATE, clock.now() + 1_000)
    const second = createHandover('second')
    store.failure = 'answer-lost'
    await expect(second.take()).toBeRejected()
    store.failure = undefined
    expect(await second.take()).toEqual(STATE)
  })

  it('should leave the state as soon as the store is available again', async () => {
    store.failure = 'refused'
    setTimeout(() => { store.failure = undefined }, 150)
    await createHandover('first').leave(STATE, clock.now() + 2_000)
    expect(await createHandover('second').take()).toEqual(STATE)
  })

  it('should stop trying at the deadline', async () => {
    store.failure = 'refused'
    let now = 0
    const sleep = async (ms: number): Promise<void> => { now += ms }
    await createHandover('first', { clock: { now: () => now }, sleep }).leave(STATE, 900)
    // A further pause and call would take longer than the deadline, and one less would give up early.
    expect([now, store.calls.commit]).toEqual([400, 3])
    store.failure = undefined
    expect(await createHandover('second').take()).toEqual(undefined)
  })

  it('should leave nothing that exceeds a row', async () => {
    await createHandover('first', { rowBytes: 10 }).leave(STATE, clock.now() + 1_000)
    expect(await createHandover('second').take()).toEqual(undefined)
  })

  const createHandover = (incarnation: string, options: Partial<LedgerHandoverOptions> = {}): LedgerHandover => {
    const log = new DecisionLog({ process: 'test', id: incarnation, isSilent: true })
    return new LedgerHandover({ store, clock, log, gatewayId: 'gateway', incarnation, rowBytes: 1_000, ...options })
  }
})
