import { expect } from 'earl'
import type { Claim, Dispatch } from '../../../src/core/call/index.js'
import { ManualClock } from '../../../src/core/clock/index.js'
import { RESPONSE_RETENTION_MS, CONFIG_GRACE_MS, SidecarCore, type SidecarCoreOptions, type SidecarEffect } from '../../../src/core/sidecar/index.js'
import type { TicketClaims } from '../../../src/core/ticket/index.js'

const START = 1_000_000

function createClaim (overrides: Partial<Claim> = {}): Claim {
  const epoch = overrides.epoch ?? 1
  return {
    attempt: `session/s#${epoch}`,
    epoch,
    call: 1,
    requestDigest: 'd',
    repeatable: false,
    target: 't',
    incarnation: 'i',
    claimer: 'entry-1',
    claimedAt: START,
    deadline: START + 60_000,
    reservedTokens: 10,
    mayHaveRun: false,
    tries: 1,
    ...overrides
  }
}

function createDispatch (claim: Claim): Dispatch {
  return {
    claim,
    ledgerKey: 'session/s',
    workspace: 'w',
    service: 'kanzlei',
    operation: 'booking',
    contentType: '',
    body: '',
    kind: 'service',
    attainedTokens: 0,
    promptTokens: 0,
    messages: [],
    holdKey: ''
  }
}

function createTicket (claim: Claim, overrides: Partial<TicketClaims> = {}): TicketClaims {
  const { attempt, epoch, incarnation, claimedAt } = claim
  return {
    purpose: 'dispatch', entry: 'entry-1', attempt, ledgerKey: 'session/s', epoch, incarnation, configVersion: 1, issuedAt: claimedAt, bodyDigest: '', ...overrides
  }
}

class Harness {
  readonly clock = new ManualClock(START)
  readonly core: SidecarCore

  constructor (options: Partial<SidecarCoreOptions> = {}) {
    this.core = new SidecarCore({ incarnation: 'i', clock: this.clock, slots: 1, ...options })
  }

  /** Dispatches an attempt; returns the reason for a refusal, or the formatted effects. */
  dispatch (claim: Claim = createClaim(), ticket: Partial<TicketClaims> = {}): string {
    return this.core.dispatch(createTicket(claim, ticket), createDispatch(claim)).caseOf({ Left: reason => reason, Right: formatEffects })
  }

  locate (claim: Claim = createClaim(), cancelIfAbsent = true): string {
    return this.core.locate(claim.attempt, claim.incarnation, claim.claimedAt, cancelIfAbsent)
  }

  completeRun (claim: Claim = createClaim()): string {
    return formatEffects(this.core.onRunEnded(claim.attempt, {
      type: 'complete', answer: { status: 200, contentType: '', text: 'x', tokens: 0, finish: 'stop' }, cachedTokens: 0, promptTokens: 0
    }))
  }
}

function formatEffects (effects: readonly SidecarEffect[]): string {
  return effects.map(effect => 'attempt' in effect ? `${effect.type} ${effect.attempt}` : effect.type).join(', ')
}

describe('SidecarCore', () => {
  describe('an attempt reported as not run', () => {
    /** Refuses an attempt, then delivers a delayed dispatch of it, which must not start. */
    function doTest (
      refuse: (harness: Harness) => string,
      expected: string,
      dispatchLate: (harness: Harness) => string = harness => harness.dispatch()
    ): void {
      const harness = new Harness()
      expect(refuse(harness)).toEqual(expected)
      expect(dispatchLate(harness)).not.toEqual(expect.includes('start'))
      expect(harness.locate()).not.toEqual('running')
    }

    it('should not run when its dispatch arrives after the cancellation', () => {
      doTest(harness => harness.locate(), 'absent')
    })

    it('should not run when the sidecar was draining', () => {
      doTest(harness => { harness.core.setLeaving(); return harness.dispatch() }, 'leaving')
    })

    it('should not run when the ticket names a previous incarnation', () => {
      doTest(harness => harness.dispatch(createClaim({ incarnation: 'former' })), 'incarnation-changed', harness => harness.dispatch())
    })

    it('should not run when a later attempt has arrived', () => {
      doTest(harness => { harness.locate(createClaim({ epoch: 2, attempt: 'session/s#2' })); return harness.dispatch() }, 'epoch-stale')
    })

    it('should not run when the queue was full', () => {
      const harness = new Harness({ maxQueued: 1 })
      harness.dispatch(createClaim({ epoch: 1 }))
      harness.dispatch(createClaim({ epoch: 2, attempt: 'session/s#2' }))
      const third = createClaim({ epoch: 3, attempt: 'session/s#3' })
      expect(harness.dispatch(third)).toEqual('queue-full')
      harness.completeRun()
      expect(harness.dispatch(third)).toEqual('queue-full')
    })

    it('should not run when too many responses were retained', () => {
      const harness = new Harness({ maxRetained: 1 })
      harness.dispatch()
      harness.completeRun()
      const next = createClaim({ epoch: 2, attempt: 'session/s#2' })
      expect(harness.dispatch(next)).toEqual('retained-full')
      harness.core.acknowledge(createClaim().attempt)
      expect(harness.dispatch(next)).toEqual('retained-full')
    })

    it('should not run when it was dropped from the queue at its deadline', () => {
      const harness = new Harness()
      harness.dispatch()
      const second = createClaim({ epoch: 2, attempt: 'session/s#2', deadline: START + 1_000 })
      harness.dispatch(second)
      harness.clock.advanceTo(START + 1_000)
      expect(formatEffects(harness.core.tick())).toEqual('ended session/s#2')
      expect(harness.core.getResult(second.attempt)?.outcome).toEqual('dropped')
      expect(harness.completeRun()).toEqual('ended session/s#1')
    })

    it('should not run when its configuration is outdated', () => {
      const harness = new Harness()
      harness.core.recordConfigVersion(5)
      harness.core.recordConfigVersion(6)
      expect(harness.dispatch(createClaim(), { configVersion: 4 })).toEqual('stale-config')
    })
  })

  it('should run an attempt only once even if its dispatch arrives repeatedly', () => {
    const harness = new Harness()
    expect(harness.dispatch()).toEqual('start session/s#1')
    expect(harness.dispatch()).toEqual('ticket-replayed')
    harness.completeRun()
    harness.core.acknowledge(createClaim().attempt)
    expect(harness.dispatch()).toEqual('ticket-replayed')
  })

  it('should accept the previous configuration only within the grace period', () => {
    const harness = new Harness()
    harness.core.recordConfigVersion(1)
    harness.core.recordConfigVersion(2)
    expect(harness.dispatch(createClaim())).toEqual('start session/s#1')
    harness.clock.advanceTo(START + CONFIG_GRACE_MS)
    expect(harness.dispatch(createClaim({ epoch: 2, attempt: 'session/s#2' }))).toEqual('stale-config')
  })

  it('should abort a run that has used up its reservation', () => {
    const harness = new Harness()
    harness.dispatch()
    expect(formatEffects(harness.core.addTokens('session/s#1', 9))).toEqual('')
    expect(formatEffects(harness.core.addTokens('session/s#1', 1))).toEqual('abort session/s#1')
    expect(formatEffects(harness.core.addTokens('session/s#1', 1))).toEqual('')
  })

  it('should keep a response until it is acknowledged or the retention period ends', () => {
    const harness = new Harness()
    harness.dispatch()
    harness.completeRun()
    harness.clock.advanceTo(START + RESPONSE_RETENTION_MS - 1)
    harness.core.tick()
    expect(harness.locate()).toEqual('done')
    harness.clock.advanceTo(START + RESPONSE_RETENTION_MS)
    harness.core.tick()
    expect(harness.locate()).toEqual('gone')
  })

  it('should never report an attempt as absent if its record may have been evicted', () => {
    const harness = new Harness({ maxRecords: 1 })
    harness.dispatch()
    harness.completeRun()
    harness.core.acknowledge('session/s#1')
    harness.locate(createClaim({ epoch: 2, attempt: 'session/s#2' }))
    harness.core.tick()
    expect(harness.locate()).toEqual('gone')
    expect(harness.dispatch()).not.toEqual(expect.includes('start'))
  })
})
