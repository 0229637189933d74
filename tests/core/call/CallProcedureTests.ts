import { expect } from 'earl'
import { CallProcedure, getRequestDigest, type CallEffect, type CallEvent, type CallSpec, type Reply } from '../../../src/core/call/index.js'
import { ManualClock } from '../../../src/core/clock/index.js'
import { Trace } from '../../../src/core/explain/index.js'
import { RetryBudget } from '../../../src/core/limits/index.js'
import { MemoryTable } from '../../../src/core/platform/index.js'
import { CostSelector, TargetDirectory } from '../../../src/core/routing/index.js'
import { getSessionContext, SessionLedger, SessionOpening } from '../../../src/core/session/index.js'

const SPEC: CallSpec = {
  kind: 'model',
  workspace: 'w',
  program: 'p',
  service: 's',
  operation: '',
  repeatable: true,
  messages: [{ role: 'user', content: 'x' }],
  maxTokens: 10,
  body: '',
  contentType: '',
  timeoutMs: 10_000
}

/** Runs one call against an in-memory table; a callback supplies the events for all other effects. */
class CallHarness {
  readonly clock = new ManualClock(0)
  readonly table = new MemoryTable()
  readonly effects: string[] = []
  reply: Reply | undefined

  constructor () {
    const opening = new SessionOpening({ id: 'x', workspace: 'w', program: 'p', tokens: 100, calls: 9, seconds: 60, maxChildren: 1 })
    const decision = opening.decide(new Map(), 0).unsafeCoerce()
    if (decision.type === 'open') this.table.commit(decision.transaction)
  }

  run (respond: (effect: CallEffect, count: number) => CallEvent): void {
    const procedure = this._createProcedure()
    const counts = new Map<string, number>()
    let next = procedure.next()
    while (next.done !== true) {
      const effect: CallEffect = next.value
      this.effects.push(effect.type)
      const count = (counts.get(effect.type) ?? 0) + 1
      counts.set(effect.type, count)
      next = procedure.next(this._perform(effect) ?? respond(effect, count))
    }
  }

  private _perform (effect: CallEffect): CallEvent | undefined {
    if (effect.type === 'read') return { type: 'rows', rows: this.table.read(effect.keys) }
    if (effect.type === 'commit') return { type: 'commit-result', result: this.table.commit(effect.transaction).type }
    if (effect.type === 'reply') this.reply = effect.reply
    return undefined
  }

  private _createProcedure (): Generator<CallEffect, void, CallEvent> {
    const directory = new TargetDirectory()
    directory.setInstances(['a', 'b'].map(id => ({ id, role: 'target', service: 's', region: 'r', failureDomain: 'd', url: id, state: 'live' })))
    for (const id of ['a', 'b']) {
      directory.recordLoad(id, {
        incarnation: 'i', isLeaving: false, configVersion: 1, slots: 4, running: 0, queued: 0, queuedTokens: 0, msPerToken: 0, runMs: 0
      }, 0)
    }
    const requestDigest = getRequestDigest(SPEC)
    return new CallProcedure({
      ledger: new SessionLedger({ session: 'x', workspace: 'w', call: 1, requestDigest, maxTokens: 10, maxRepeats: 3 }),
      spec: SPEC,
      requestDigest,
      session: 'x',
      call: 1,
      entry: 'e',
      selector: new CostSelector({ directory, region: 'r', failureDomain: 'd' }),
      retryBudget: new RetryBudget({ initial: 5 }),
      clock: this.clock,
      trace: new Trace(this.clock),
      getContext: rows => getSessionContext(rows, 'x'),
      isFirstSend: false,
      isCallerDisconnected: () => false
    }).run()
  }
}

const EMPTY = { cachedTokens: 0, promptTokens: 0, queuedAt: 0, startedAt: 0, firstByteAt: 0, endedAt: 0 }

describe('CallProcedure', () => {
  it('should not report that nothing ran when an attempt crashed and the history cannot be read for the next', () => {
    const harness = new CallHarness()
    harness.run((effect, count) => {
      if (effect.type === 'read-history') return count === 1 ? { type: 'history', messages: [] } : { type: 'unavailable' }
      if (effect.type === 'dispatch') return { type: 'ended' }
      if (effect.type !== 'collect') return { type: 'done' }
      const answer = { status: 200, contentType: '', text: 'part', tokens: 3, finish: 'stop' }
      return { type: 'collected', result: { ...EMPTY, outcome: 'crashed', answer } }
    })
    expect(harness.reply).toEqual({ type: 'refusal', refusal: { reason: 'attempts-failed', detail: 'store-unavailable' } })
  })

  it('should locate an attempt whose ticket was replayed, since the first copy may run', () => {
    const harness = new CallHarness()
    harness.run(effect => {
      if (effect.type === 'read-history') return { type: 'history', messages: [] }
      if (effect.type === 'dispatch') return { type: 'refused', reason: 'ticket-replayed' }
      if (effect.type === 'locate') return { type: 'located', state: 'running' }
      if (effect.type === 'attach') return { type: 'ended' }
      if (effect.type !== 'collect') return { type: 'done' }
      const answer = { status: 200, contentType: '', text: 'whole', tokens: 3, finish: 'stop' }
      return { type: 'collected', result: { ...EMPTY, outcome: 'complete', answer } }
    })
    expect(harness.reply).toEqual(expect.subset({ type: 'answer', turn: expect.subset({ answer: expect.subset({ text: 'whole' }) }) }))
    expect(harness.effects.filter(effect => effect === 'dispatch').length).toEqual(1)
  })
})
