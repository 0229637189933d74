import { expect } from 'earl'
import { ManualClock } from '../../../src/core/clock/index.js'
import {
  CRASH_WINDOW_MS, ABANDONED_GRACE_MS, REFUSAL_MS, SUSPECT_RETENTION_MS, SUSPECT_TABLE, type SuspectDigests, type Trial
} from '../../../src/core/suspect/index.js'
import { TargetState, type TargetEndCause } from '../../../src/core/target/index.js'
import { StoreAccess, SuspectStore } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

/** Milliseconds by which the store's clock is ahead of the one of the first gateway. */
const STORE_AHEAD_MS = 5_000_000

/** Milliseconds by which the clock of a restarted gateway is ahead. */
const RESTART_AHEAD_MS = 70_000

/** Milliseconds in which a target's row expires, roughly. */
const EXPIRY_MS = 3_000

/** Milliseconds in which a gateway looks for the ends of targets once at least. */
const JUDGE_POLL_MS = 700

const DIGESTS = { request: 'request', content: 'content', opening: undefined } satisfies SuspectDigests

/** A gateway's suspects with a clock of its own. */
interface SuspectGateway {
  readonly clock: ManualClock
  /** Listed targets. */
  readonly targets: Map<string, TargetState>
  /** Incarnations that respond when they are asked. */
  readonly alive: Set<string>
  readonly suspects: SuspectStore
}

describe('SuspectStore', () => {
  let rows: MemoryRowStore
  let first: SuspectGateway
  /** Clocks of all gateways, which advance together. */
  let clocks: ManualClock[]

  beforeEach(async () => {
    rows = new MemoryRowStore()
    clocks = []
    first = createGateway(0)
    rows.getTimeMs = () => first.clock.now() + STORE_AHEAD_MS
    await read(first)
  })

  // BUDGET and LOST: each crash counted as one at the time of the restart, so that ended refusals began anew, and long ones became short.
  it('should go on with a refusal, and not begin it anew, after a restart of all gateways', async () => {
    for (const incarnation of ['a', 'b', 'c']) await crash(first, incarnation)
    const refusedMs = first.suspects.getRefusedMs(DIGESTS)
    expect(refusedMs).toEqual(REFUSAL_MS[0])
    advance(refusedMs - 1)
    const second = createGateway(RESTART_AHEAD_MS)
    await read(second)
    expect(second.suspects.getRefusedMs(DIGESTS)).toEqual(1)
    advance(1)
    const third = createGateway(2 * RESTART_AHEAD_MS)
    await read(third)
    expect(third.suspects.getRefusedMs(DIGESTS)).toEqual(0)
    // Counts at once, as the request was refused before.
    await crash(third, 'd')
    const fourth = createGateway(3 * RESTART_AHEAD_MS)
    await read(fourth)
    expect(fourth.suspects.getRefusedMs(DIGESTS)).toEqual(REFUSAL_MS[1] - CRASH_WINDOW_MS)
  })

  // The rows of a gateway that had ended stayed in the store, and were read again as new ones.
  it('should remove the rows of crashes that are too old, also those of other gateways and without a time', async () => {
    for (const incarnation of ['a', 'b', 'c']) await crash(first, incarnation)
    rows.apply({ puts: [{ table: SUSPECT_TABLE, part: '', key: 'request/d', value: Buffer.alloc(0) }] })
    const second = createGateway(RESTART_AHEAD_MS)
    advance(SUSPECT_RETENTION_MS - 2 * CRASH_WINDOW_MS - 1)
    await read(second)
    expect(rows.getTableSize(SUSPECT_TABLE)).toEqual(6)
    advance(2 * CRASH_WINDOW_MS + 1)
    await read(second)
    expect(rows.getTableSize(SUSPECT_TABLE)).toEqual(0)
    expect(second.suspects.getRefusedMs(DIGESTS)).toEqual(0)
  })

  // A gateway that reads the table through a peer of an earlier version does not learn the time.
  it('should keep the rows of crashes while the time of the store is not known', async () => {
    for (const incarnation of ['a', 'b', 'c']) await crash(first, incarnation)
    const second = createGateway(RESTART_AHEAD_MS)
    second.suspects.applyRows((await rows.read({ table: SUSPECT_TABLE, part: '' })).rows, undefined)
    expect(second.suspects.getRefusedMs(DIGESTS)).toEqual(REFUSAL_MS[0])
    await delay(50)
    expect(rows.getTableSize(SUSPECT_TABLE)).toEqual(6)
  })

  // LOST: a gateway whose watch had a gap when a request was cleared went on refusing it.
  it('should not refuse a request that was cleared during a gap of the watch', async () => {
    const second = createGateway(RESTART_AHEAD_MS)
    for (const incarnation of ['a', 'b', 'c']) await crash(first, incarnation)
    await read(second)
    expect(second.suspects.getRefusedMs(DIGESTS)).toBeGreaterThan(0)
    await first.suspects.clear(DIGESTS, 'r1')
    await read(second)
    expect(second.suspects.getRefusedMs(DIGESTS)).toEqual(0)
  })

  it('should keep crashes that it could not share yet when it reads the table', async () => {
    rows.readOnlyTables.add(SUSPECT_TABLE)
    for (const incarnation of ['a', 'b', 'c']) void crash(first, incarnation)
    await delay(CRASH_WINDOW_MS + 100)
    await read(first)
    expect(first.suspects.getRefusedMs(DIGESTS)).toBeGreaterThan(0)
    rows.readOnlyTables.clear()
  })

  // LOST: three connections that were reset at targets which went on refused a request.
  it('should not count the loss of a connection when the target responds to a later request within the window', async () => {
    for (const incarnation of ['a', 'b', 'c']) {
      const counted = crash(first, incarnation)
      // The request before the loss shows nothing, and neither does another target.
      first.suspects.recordResponse(incarnation, first.clock.now() - CRASH_WINDOW_MS - 1)
      first.suspects.recordResponse('d', first.clock.now() - 1)
      if (incarnation === 'c') first.suspects.recordResponse(incarnation, first.clock.now() - 1)
      await counted
    }
    expect([rows.getTableSize(SUSPECT_TABLE), first.suspects.getRefusedMs(DIGESTS)]).toEqual([4, 0])
  })

  // BUDGET: a target that had crashed and was back under its id responded before its new incarnation was known, which took its crash back.
  it('should keep a crash when the target responds to a request that was sent after the window', async () => {
    for (const incarnation of ['a', 'b', 'c']) {
      await crash(first, incarnation)
      first.suspects.recordResponse(incarnation, first.clock.now() + 100)
    }
    expect(first.suspects.getRefusedMs(DIGESTS)).toBeGreaterThan(0)
  })

  // BUDGET: a request that had ended targets was refused, and then run by all callers at once.
  it('should let one request at a time try again after a refusal, until its outcome is known', async () => {
    const second = createGateway(RESTART_AHEAD_MS)
    for (const incarnation of ['a', 'b', 'c']) await crash(first, incarnation)
    await read(second)
    expect((await first.suspects.admit(DIGESTS, 'r1')).type).toEqual('refused')
    advance(REFUSAL_MS[0])
    const admission = await admit(first)
    expect((await second.suspects.admit(DIGESTS, 'r2')).type).toEqual('refused')
    // A target that ends counts at once, and ends the trial in the same transaction.
    await crash(first, 'd')
    await first.suspects.endTrial(admission)
    expect([first.suspects.getRefusedMs(DIGESTS), rows.getTableSize(SUSPECT_TABLE)]).toEqual([REFUSAL_MS[1] - CRASH_WINDOW_MS, 8])
    advance(REFUSAL_MS[1])
    await read(second)
    await admit(second)
    await second.suspects.clear(DIGESTS, 'r3')
    expect([(await second.suspects.admit(DIGESTS, 'r4')).type, rows.getTableSize(SUSPECT_TABLE)]).toEqual(['admitted', 0])
  })

  // LOST: what is merely popular is at most targets that go down, and so is what begins as a request that crashes targets.
  it('should not count crashes against what targets have answered lately, and not at all against the beginning of answered bodies', async () => {
    const deadly = { request: undefined, content: 'deadly', opening: 'opening' }
    const popular = { request: undefined, content: 'popular', opening: 'opening' }
    const lose = async (digests: SuspectDigests, incarnation: string): Promise<void> => {
      const all = [digests.content, digests.opening!]
      const counted = first.suspects.record({ digests: all, incarnation, others: 0, targets: 8, sentAt: first.clock.now() }, { req: 'r1' })
      advance(CRASH_WINDOW_MS)
      await counted
    }
    for (const incarnation of ['a', 'b', 'c']) {
      await first.suspects.clear(popular, 'r1')
      await lose(popular, incarnation)
    }
    expect([first.suspects.countCrashes(popular), first.suspects.needsTrial(popular)]).toEqual([0, false])
    for (const incarnation of ['d', 'e', 'f']) await lose(deadly, incarnation)
    expect([deadly, popular].map(digests => first.suspects.getRefusedMs(digests) > 0)).toEqual([true, false])
  })

  // BUDGET: bodies that begin alike were refused each by itself.
  it('should count crashes against the beginning of bodies while none of them was answered', async () => {
    for (const incarnation of ['a', 'b', 'c']) {
      const counted = first.suspects.record(
        { digests: [incarnation, 'opening'], incarnation, others: 0, targets: 8, sentAt: first.clock.now() }, { req: 'r1' })
      advance(CRASH_WINDOW_MS)
      await counted
    }
    const next = { request: undefined, content: 'next', opening: 'opening' }
    expect(first.suspects.getRefusedMs(next)).toBeGreaterThan(0)
    await first.suspects.clear({ ...next, content: 'other' }, 'r2')
    expect(first.suspects.getRefusedMs(next)).toEqual(0)
  })

  it('should let the next request try when a trial has reached no target', async () => {
    for (const incarnation of ['a', 'b', 'c']) await crash(first, incarnation)
    advance(REFUSAL_MS[0])
    await first.suspects.endTrial(await admit(first))
    await admit(createGateway(RESTART_AHEAD_MS), true)
  })

  it('should keep a trial until its target, which did not answer in time, is known to go on', async () => {
    for (const incarnation of ['a', 'b', 'c']) await crash(first, incarnation)
    advance(REFUSAL_MS[0])
    const trial = await admit(first)
    hold(first, 'd')
    const ended = first.suspects.endTrial(trial)
    advance(ABANDONED_GRACE_MS)
    expect((await first.suspects.admit(DIGESTS, 'r2')).type).toEqual('refused')
    first.alive.add('d')
    advance(1)
    await ended
    await admit(first)
  })

  // BUDGET: targets that ended in silence, or after their gateway had stopped waiting, were not counted.
  it('should count a target that is gone after its gateway has stopped waiting', async () => {
    for (const incarnation of ['a', 'b', 'c']) {
      const state = hold(first, incarnation)
      advance(EXPIRY_MS)
      await end(first, state, 'removed')
    }
    expect(first.suspects.getRefusedMs(DIGESTS)).toEqual(REFUSAL_MS[0])
  })

  it('should count a target that is gone before its gateway has stopped waiting', async () => {
    for (const incarnation of ['a', 'b', 'c']) {
      const state = listTarget(first, incarnation)
      advance(EXPIRY_MS)
      await end(first, state, 'removed')
      first.suspects.recordAbandoned({ digests: [DIGESTS.request], incarnation: state.incarnation, sentAt: first.clock.now() - EXPIRY_MS })
      await delay(20)
    }
    expect(first.suspects.getRefusedMs(DIGESTS)).toEqual(REFUSAL_MS[0])
  })

  // LOST: the opposite.
  it('should not count targets that respond, that were heard later, or that are listed again', async () => {
    for (const incarnation of ['a', 'b', 'c', 'd', 'e', 'f']) {
      const connection = {}
      const state = hold(first, incarnation)
      state.recordHeard(first.clock.now(), connection)
      if (incarnation < 'c') first.alive.add(state.incarnation)
      advance(ABANDONED_GRACE_MS + 1)
      if (incarnation === 'c' || incarnation === 'd') state.recordHeard(first.clock.now(), connection)
      advance(EXPIRY_MS)
      await end(first, state, incarnation === 'd' ? 'replaced' : 'removed')
      if (incarnation >= 'e') first.suspects.recordListed(state.incarnation)
    }
    await delay(50)
    expect([first.suspects.getRefusedMs(DIGESTS), rows.getTableSize(SUSPECT_TABLE)]).toEqual([0, 0])
  })

  // BUDGET: a target that had ended and was back under its id hid its end.
  it('should count a target whose next incarnation was heard before its row was read', async () => {
    for (const incarnation of ['a', 'b', 'c']) {
      const state = hold(first, incarnation)
      advance(EXPIRY_MS)
      state.recordHeard(first.clock.now(), {})
      await end(first, state, 'replaced')
    }
    expect(first.suspects.getRefusedMs(DIGESTS)).toEqual(REFUSAL_MS[0])
  })

  it('should take back a target that was taken for gone when it responds, but not one that was replaced', async () => {
    for (const incarnation of ['a', 'b', 'c']) {
      const state = hold(first, incarnation)
      advance(EXPIRY_MS)
      await end(first, state, incarnation === 'c' ? 'replaced' : 'removed')
    }
    first.suspects.recordResponse('c@1', first.clock.now())
    expect(first.suspects.getRefusedMs(DIGESTS)).toBeGreaterThan(0)
    first.suspects.recordResponse('a@1', first.clock.now())
    expect(first.suspects.getRefusedMs(DIGESTS)).toEqual(0)
  })

  // BUDGET: copies ran at all gateways until the ends of the first targets, which had fallen silent, were known.
  it('should let one gateway at a time run a request while two of its targets are silent, until one is heard', async () => {
    const second = createGateway(RESTART_AHEAD_MS)
    const state = hold(first, 'a')
    expect(await first.suspects.admit(DIGESTS, 'r1')).toEqual({ type: 'admitted' })
    hold(first, 'b')
    const trial = await admit(first)
    await first.suspects.recordTrialRun(trial, 'd@1')
    await read(second)
    expect((await second.suspects.admit(DIGESTS, 'r2')).type).toEqual('refused')
    const connection = {}
    state.recordHeard(first.clock.now(), connection)
    advance(ABANDONED_GRACE_MS + 1)
    state.recordHeard(first.clock.now(), connection)
    await first.suspects.clear({ request: 'other', content: 'others', opening: undefined }, 'r3')
    expect(first.suspects.needsTrial(DIGESTS)).toEqual(false)
  })

  // LOST: neither an outage of the store nor targets that stay silent may keep a request that was not refused from running.
  it('should run a request whose targets are silent while the store is away, and some seconds later', async () => {
    hold(first, 'a')
    hold(first, 'b')
    rows.failure = 'refused'
    expect(await first.suspects.admit(DIGESTS, 'r1')).toEqual({ type: 'admitted' })
    rows.failure = undefined
    advance(2 * EXPIRY_MS)
    expect(await first.suspects.admit(DIGESTS, 'r2')).toEqual({ type: 'admitted' })
  })

  // BUDGET: the outcome of a trial was lost with its gateway, so that all gateways killed every 9 s let a run begin every 10 s.
  for (const isListed of [false, true]) {
    it(`should count the target of a trial whose gateway has ended, by a gateway that ${isListed ? 'sees its end' : 'starts later'}`, async () => {
      const refusedMs = await tryAndEnd(async (successor, target) => { if (isListed) await end(successor, target, 'removed') }, isListed)
      expect(refusedMs).toBeGreaterThan(0)
    })
  }

  // LOST: the opposite.
  it('should not count the target of a trial whose gateway has ended when it leaves', async () => {
    expect(await tryAndEnd(async (successor, target) => { successor.targets.delete(target.incarnation) }, true)).toEqual(0)
  })

  it('should not count the target of a trial whose gateway has ended when it responds', async () => {
    const endAlive = async (successor: SuspectGateway, target: TargetState): Promise<void> => {
      successor.alive.add(target.incarnation)
      await end(successor, target, 'removed')
    }
    expect(await tryAndEnd(endAlive, true)).toEqual(0)
  })

  /** Begins a trial at a gateway that ends; another one reads its row, and the target ends. Gets the time of the refusal. */
  async function tryAndEnd (act: (successor: SuspectGateway, target: TargetState) => Promise<void>, isListed: boolean): Promise<number> {
    for (const incarnation of ['a', 'b', 'c']) await crash(first, incarnation)
    advance(REFUSAL_MS[3])
    const ended = createGateway(RESTART_AHEAD_MS)
    await ended.suspects.recordTrialRun(await admit(ended, true), 'd@1')
    const successor = createGateway(2 * RESTART_AHEAD_MS)
    const target = listTarget(successor, 'd')
    if (!isListed) successor.targets.clear()
    await read(successor)
    await delay(JUDGE_POLL_MS)
    await act(successor, target)
    await delay(JUDGE_POLL_MS)
    advance(EXPIRY_MS)
    await delay(JUDGE_POLL_MS)
    return successor.suspects.getRefusedMs(DIGESTS)
  }

  /** Begins a trial. */
  async function admit (gateway: SuspectGateway, isUnread = false): Promise<Trial> {
    if (isUnread) await read(gateway)
    const admission = await gateway.suspects.admit(DIGESTS, 'r1')
    if (admission.type === 'refused' || admission.trial === undefined) throw new Error(`The request was ${admission.type}.`)
    return admission.trial
  }

  function listTarget ({ targets }: SuspectGateway, id: string): TargetState {
    const state = new TargetState({
      id, bornAt: 1, service: 'desk', softwareVersion: 'v1', address: '10.0.0.1:80', failureDomain: 'here', isLeaving: false, slots: 8
    })
    targets.set(state.incarnation, state)
    return state
  }

  /** Sends a request to a target for which the gateway stops waiting at once. */
  function hold (gateway: SuspectGateway, id: string): TargetState {
    const state = listTarget(gateway, id)
    gateway.suspects.recordAbandoned({ digests: [DIGESTS.request], incarnation: state.incarnation, sentAt: gateway.clock.now() })
    return state
  }

  /** Ends a target as the store shows it. */
  async function end ({ targets, suspects }: SuspectGateway, state: TargetState, cause: TargetEndCause): Promise<void> {
    targets.delete(state.incarnation)
    await suspects.recordEnd(state, cause)
  }

  function createGateway (aheadMs: number): SuspectGateway {
    const clock = new ManualClock((clocks[0]?.now() ?? 0) + aheadMs)
    clocks.push(clock)
    const log = new DecisionLog({ process: 'test', id: 'a', isSilent: true })
    const access = new StoreAccess({ store: rows, clock, log, onRetry: () => {}, onUnavailable: () => {}, onAvailable: () => {} })
    const targets = new Map<string, TargetState>()
    const alive = new Set<string>()
    const findTarget = (incarnation: string): TargetState | undefined => targets.get(incarnation)
    const isAlive = async ({ target, incarnation }: TargetState): Promise<boolean> => alive.has(incarnation) || alive.has(target.id)
    const suspects = new SuspectStore({ access, clock, log, findTarget, isAlive, confirmTargets: async () => {} })
    return { clock, targets, alive, suspects }
  }

  function advance (ms: number): void {
    for (const clock of clocks) clock.advanceTo(clock.now() + ms)
  }

  async function read ({ suspects }: SuspectGateway): Promise<void> {
    const snapshot = await rows.read({ table: SUSPECT_TABLE, part: '' })
    suspects.applyRows(snapshot.rows, snapshot.timeMs)
  }

  /** Loses a request at a target; the crash counts after the window. */
  async function crash ({ clock, suspects }: SuspectGateway, incarnation: string): Promise<void> {
    const digests = [DIGESTS.request, DIGESTS.content]
    const counted = suspects.record({ digests, incarnation, others: 0, targets: 8, sentAt: clock.now() }, { req: 'r1' })
    advance(CRASH_WINDOW_MS)
    await counted
  }
})

async function delay (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
