import { expect } from 'earl'
import { MAX_CLOCK_SKEW_MS, TICKET_TTL_MS, TicketSigner, type TicketClaims } from '../../../src/core/ticket/index.js'

const CLAIMS: TicketClaims = {
  purpose: 'dispatch', entry: 'e', attempt: 'a#1', ledgerKey: 'a', epoch: 1, incarnation: 'i', configVersion: 1, issuedAt: 50_000, bodyDigest: ''
}

describe('TicketSigner', () => {
  function doTest (ticket: string | undefined, now: number, expected: string, keys: readonly string[] = ['one']): void {
    const verified = new TicketSigner({ keys }).verify(ticket, now)
    expect(verified.caseOf<string>({ Left: reason => reason, Right: claims => claims.attempt })).toEqual(expected)
  }

  const valid = new TicketSigner({ keys: ['one'] }).sign(CLAIMS)

  it('should accept its own ticket', () => { doTest(valid, 50_000, 'a#1') })
  it('should accept a ticket signed with the old key during a rotation', () => { doTest(valid, 50_000, 'a#1', ['two', 'one']) })
  it('should refuse a missing ticket', () => { doTest(undefined, 50_000, 'ticket-missing') })
  it('should refuse a ticket signed with an unknown key', () => { doTest(valid, 50_000, 'ticket-forged', ['two']) })
  it('should refuse a changed ticket', () => { doTest(`A${valid.slice(1)}`, 50_000, 'ticket-forged') })
  it('should refuse a malformed ticket', () => { doTest('x.y.z', 50_000, 'ticket-forged') })
  it('should refuse an expired ticket', () => { doTest(valid, 50_000 + TICKET_TTL_MS + MAX_CLOCK_SKEW_MS + 1, 'ticket-expired') })
  it('should refuse a ticket from the future', () => { doTest(valid, 50_000 - MAX_CLOCK_SKEW_MS - 1, 'ticket-early') })
})
