import { expect } from 'earl'
import {
  CRASH_WINDOW_MS, CrashEvidence, getSuspectDigest, REFUSAL_MS, SUSPECT_RETENTION_MS, SuspectList, toSuspectRow, type LostRequest
} from '../../../src/core/suspect/index.js'

/** Requests that are lost at times in milliseconds: the digest, the incarnation, and the others in progress there. */
type Losses = ReadonlyArray<readonly [at: number, digest: string, incarnation: string, others?: number]>

/** Adds losses in order and gets the evidence as `digest incarnation`. */
function evaluate (losses: Losses): string[] {
  const evidence = new CrashEvidence()
  const records: string[] = []
  const collect = (now: number): void => {
    for (const { digest, incarnation } of evidence.evaluate(now)) records.push(`${digest} ${incarnation}`)
  }
  for (const [at, digest, incarnation, others = 0] of losses) {
    collect(at)
    const lost: LostRequest = { digest, incarnation, others }
    evidence.add(lost, at)
  }
  collect(Infinity)
  return records
}

// RULES.md, BUDGET: a request that crashes the engines that run it is not run any more after three crashes.
describe('a request that crashes targets', () => {
  it('should be refused after three incarnations of targets, whichever gateways recorded it', () => {
    const list = new SuspectList()
    expect(list.add('d', 'i-1@1', 0)).toEqual(false)
    expect(list.addRow(toSuspectRow('d', 'i-1@2'), 0)).toEqual(false)
    expect(list.isRefused('d', 0)).toEqual(false)
    expect(list.addRow(toSuspectRow('d', 'i-2@1'), 0)).toEqual(true)
    expect(list.isRefused('d', 0)).toEqual(true)
  })

  it('should be recognized when it is alone at targets that crash', () => {
    expect(evaluate([[0, 'poison', 'a'], [5_000, 'poison', 'b'], [10_000, 'poison', 'c']])).toEqual(['poison a', 'poison b', 'poison c'])
  })

  it('should be recognized when it is retried at once, and each target takes other requests with it', () => {
    const losses: Losses = [[0, 'poison', 'a', 2], [1, 'x', 'a', 1], [2, 'y', 'a'], [60, 'poison', 'b', 1], [61, 'z', 'b']]
    expect(evaluate(losses).filter(record => record.startsWith('poison'))).toEqual(['poison a', 'poison b'])
  })

  it('should be recognized without a body', () => {
    const lookup = { caller: 'c', method: 'GET', host: 'h', target: '/lookup/x', previousTurn: undefined, body: undefined }
    expect(getSuspectDigest(lookup)).toEqual(getSuspectDigest({ ...lookup }))
  })

  it('should be refused for twice the time when it crashes another target after the refusal has ended', () => {
    const list = new SuspectList()
    for (const incarnation of ['a', 'b', 'c']) list.add('d', incarnation, 0)
    expect([list.isRefused('d', REFUSAL_MS - 1), list.isRefused('d', REFUSAL_MS)]).toEqual([true, false])
    expect(list.add('d', 'e', REFUSAL_MS)).toEqual(true)
    expect([list.isRefused('d', 3 * REFUSAL_MS - 1), list.isRefused('d', 3 * REFUSAL_MS)]).toEqual([true, false])
  })
})

// RULES.md, LOST: nothing that was accepted is refused for good.
describe('a request that was in progress at targets that crash for another reason', () => {
  it('should not be suspected when a failure domain goes down', () => {
    expect(evaluate([[0, 'x', 'a'], [3, 'y', 'b'], [40, 'z', 'c'], [CRASH_WINDOW_MS, 'w', 'd']])).toEqual([])
  })

  it('should not be suspected when its connection is lost and the target goes on with others', () => {
    expect(evaluate([[0, 'x', 'a', 9]])).toEqual([])
  })

  it('should not be suspected because of other callers, turns, methods and bodies', () => {
    const turn = { caller: 'p1', method: 'POST', host: 'h', target: '/t', previousTurn: 't1', body: Buffer.from('continue') }
    const others = [{ caller: 'p2' }, { method: 'PUT' }, { host: 'g' }, { target: '/u' }, { previousTurn: 't2' }, { body: Buffer.from('x') }, { body: undefined }]
    expect(new Set([turn, ...others.map(other => ({ ...turn, ...other }))].map(getSuspectDigest)).size).toEqual(others.length + 1)
  })

  it('should count an incarnation once', () => {
    const list = new SuspectList()
    for (let at = 0; at < 5; at++) list.add('d', 'i-1@1', 0)
    expect(list.isRefused('d', 0)).toEqual(false)
  })

  it('should be forgotten', () => {
    const list = new SuspectList()
    for (const incarnation of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) list.add('d', incarnation, 0)
    expect([list.isRefused('d', SUSPECT_RETENTION_MS - 1), list.isRefused('d', SUSPECT_RETENTION_MS)]).toEqual([true, false])
    expect(list.add('d', 'i', SUSPECT_RETENTION_MS)).toEqual(false)
  })
})
