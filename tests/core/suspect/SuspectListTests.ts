import { expect } from 'earl'
import {
  ANSWERED_MS, AnsweredRequests, ContentsInProgress, CRASH_WINDOW_MS, CrashEvidence, getSuspectDigests, getSuspectKey, REFUSAL_MS,
  SUSPECT_RETENTION_MS, SuspectList, type LostRequest, type SuspectIdentity
} from '../../../src/core/suspect/index.js'

/** Requests that are lost at times in milliseconds: the digest, the incarnation, the others in progress there, and the time of sending. */
type Losses = ReadonlyArray<readonly [at: number, digest: string, incarnation: string, others?: number, sentAt?: number]>

/** A turn of a program. */
const TURN: SuspectIdentity = {
  workspace: undefined, program: 'p1', method: 'POST', host: 'h', target: '/t', previousTurn: 't1', body: Buffer.from('continue')
}

/** Targets that could have run a request. */
const TARGETS = 9

/** `contactMs` of the sites, in milliseconds. */
const CONTACT_MS = 4_000

/** Milliseconds before a loss at which a request was sent, unless stated. */
const SENT_BEFORE_MS = 1_000

/** Adds losses in order and gets the evidence as `digest incarnation`. */
function evaluate (losses: Losses): string[] {
  const evidence = new CrashEvidence()
  const records: string[] = []
  const collect = (now: number): void => {
    for (const { digest, incarnation } of evidence.evaluate(now)) records.push(`${digest} ${incarnation}`)
  }
  for (const [at, digest, incarnation, others = 0, sentAt = at - SENT_BEFORE_MS] of losses) {
    collect(at)
    const lost: LostRequest = { digests: [digest], incarnation, others, targets: TARGETS, sentAt }
    evidence.add(lost, at)
  }
  collect(Infinity)
  return records
}

/** Adds losses in order and gets the requests that are refused in the end. */
function getRefused (losses: Losses): string[] {
  const list = new SuspectList()
  for (const record of evaluate(losses)) {
    const [digest, incarnation] = record.split(' ')
    list.add(digest!, incarnation!, 0)
  }
  return [...new Set(losses.map(([, digest]) => digest))].filter(digest => list.getRefusedMs(digest, 0) > 0).sort()
}

/** Losses of requests that each crash another target at nearly the same time and come again; the target takes a plain request with it. */
function crashTogether (requests: readonly string[], rounds: number): Losses {
  return Array.from({ length: rounds }).flatMap((_, round) => requests.flatMap((request, at) => {
    const now = round * 600 + at * 40
    const target = `${request}${round}`
    return [[now, request, target, 1], [now + 1, `plain ${target}`, target]] as const
  }))
}

/** Losses of all requests that are in progress at the targets of a failure domain; each target has the popular request as well. */
function loseDomain (startedAt: number, name: string): Losses {
  return Array.from({ length: 6 }).flatMap((_, at) => {
    const target = `${name}${at}`
    return [[startedAt + at * 80, `turn ${target}`, target, 1], [startedAt + at * 80 + 1, 'popular', target]] as const
  })
}

// A request that crashes targets is stopped (BUDGET), and one that was only in progress is not refused for good (LOST).
describe('requests that were in progress at targets that crash', () => {
  const cases: ReadonlyArray<readonly [name: string, losses: Losses, refused: readonly string[]]> = [
    ['refuse one request that crashes a target at a time', crashTogether(['p1'], 3), ['p1']],
    ['refuse each of several requests that crash targets at once', crashTogether(['p1', 'p2', 'p3', 'p4'], 3), ['p1', 'p2', 'p3', 'p4']],
    ['refuse no request after two crashes at once with others', crashTogether(['p1', 'p2', 'p3', 'p4'], 2), []],
    ['refuse no request of a failure domain that goes down', loseDomain(0, 'a'), []],
    ['refuse no request of two failure domains that go down in turn', [...loseDomain(0, 'a'), ...loseDomain(2_000, 'b')], []],
    ['refuse only the one that goes on when a failure domain goes down beside it', [...crashTogether(['p1'], 3), ...loseDomain(1_250, 'a')], ['p1']]
  ]
  for (const [name, losses, refused] of cases) {
    it(`should ${name}`, () => { expect(getRefused([...losses].sort(([a], [b]) => a - b))).toEqual([...refused]) })
  }

  it('should be cleared by a complete answer, before and after the crash is evaluated', () => {
    const evidence = new CrashEvidence()
    evidence.add({ digests: ['x'], incarnation: 'a', others: 0, targets: TARGETS, sentAt: 0 }, 0)
    evidence.clear('x')
    expect(evidence.evaluate(CRASH_WINDOW_MS)).toEqual([])
    const list = new SuspectList()
    for (const incarnation of ['a', 'b', 'c']) list.add('x', incarnation, 0)
    expect([list.clear('x'), list.getRefusedMs('x', 0), list.clear('x')]).toEqual([['a', 'b', 'c'], 0, []])
  })

  it('should be cleared when another gateway has removed a crash', () => {
    const list = new SuspectList()
    for (const incarnation of ['a', 'b', 'c']) list.add('x', incarnation, 0)
    list.removeRow(getSuspectKey('x', 'b'))
    expect(list.getRefusedMs('x', 0)).toEqual(0)
  })
})

// RULES.md, BUDGET: a request that crashes the engines that run it is not run any more after three crashes.
describe('a request that crashes targets', () => {
  it('should be refused after three incarnations of targets, whichever gateways recorded it', () => {
    const list = new SuspectList()
    expect(list.add('d', 'i-1@1', 0)).toEqual(false)
    expect(list.addStored({ key: getSuspectKey('d', 'i-1@2'), at: 0 })).toEqual(false)
    expect(list.getRefusedMs('d', 0)).toEqual(0)
    expect(list.addStored({ key: getSuspectKey('d', 'i-2@1'), at: 0 })).toEqual(true)
    expect(list.getRefusedMs('d', 0)).toBeGreaterThan(0)
  })

  it('should be recognized when it is alone at targets that crash', () => {
    expect(evaluate([[0, 'poison', 'a'], [5_000, 'poison', 'b'], [10_000, 'poison', 'c']])).toEqual(['poison a', 'poison b', 'poison c'])
  })

  // BUDGET: of three targets that a request crashed one after the other, two counted, as others went down beside them.
  it('should be recognized when it is retried at once, and another target goes down beside it', () => {
    const losses: Losses = [[0, 'poison', 'a'], [100, 'poison', 'b', 0, 1], [150, 'x', 'c', 1], [151, 'y', 'c']]
    expect(evaluate(losses).filter(record => record.startsWith('poison'))).toEqual(['poison a', 'poison b'])
  })

  it('should be recognized when it is retried at once, and each target takes other requests with it', () => {
    const losses: Losses = [[0, 'poison', 'a', 2], [1, 'x', 'a', 1], [2, 'y', 'a'], [60, 'poison', 'b', 1, 1], [61, 'z', 'b']]
    expect(evaluate(losses).filter(record => record.startsWith('poison'))).toEqual(['poison a', 'poison b'])
  })

  it('should be recognized without a body', () => {
    const lookup = { ...TURN, program: undefined, method: 'GET', target: '/lookup/x', previousTurn: undefined, body: undefined }
    expect(getSuspectDigests(lookup)).toEqual(getSuspectDigests({ ...lookup }))
    expect(getSuspectDigests(lookup).request).toEqual(undefined)
  })

  // BUDGET: a request that came from another address, or in a new program, was another one each time.
  it('should be recognized in another program and after another turn', () => {
    for (const again of [{ program: 'p2', previousTurn: 't2' }, { program: undefined, previousTurn: undefined }]) {
      expect(getSuspectDigests({ ...TURN, ...again }).content).toEqual(getSuspectDigests(TURN).content)
    }
    expect(evaluate([[0, 'content', 'a'], [5_000, 'content', 'b'], [10_000, 'content', 'c']])).toEqual(['content a', 'content b', 'content c'])
  })

  // BUDGET: each turn of a program that repeats its history was another request, as its body was longer.
  it('should be recognized when something else follows the same beginning of a long body', () => {
    const toDigests = (length: number, start: string): ReturnType<typeof getSuspectDigests> => {
      return getSuspectDigests({ ...TURN, body: Buffer.from(start.padEnd(length, 'history ')) })
    }
    const [first, longer, other, short] = [toDigests(1_000, 'a'), toDigests(2_000, 'a'), toDigests(1_000, 'b'), toDigests(20, 'a')]
    expect([longer, other].map(({ content }) => content === first.content)).toEqual([false, false])
    expect([longer, other].map(({ opening }) => opening === first.opening)).toEqual([true, false])
    expect(short.opening).toEqual(undefined)
  })

  // BUDGET: what several callers had in progress at the same time was not counted against the content.
  it('should be recognized when several callers send it, also as many as there are targets, from the second time on', () => {
    const evidence = new CrashEvidence()
    const counted = [0, 2_000, 4_000].map(now => {
      for (const incarnation of ['a', 'b', 'c']) {
        evidence.add({ digests: ['content'], shared: 'content', incarnation: `${incarnation}${now}`, others: 0, targets: 3, sentAt: now - 1 }, now)
      }
      return evidence.evaluate(now + CRASH_WINDOW_MS).map(({ incarnation }) => incarnation)
    })
    expect(counted).toEqual([[], ['a2000'], ['a4000']])
    for (const incarnation of ['d', 'e']) {
      evidence.add({ digests: ['content'], shared: 'content', incarnation, others: 0, targets: TARGETS, sentAt: 5_999 }, 6_000)
    }
    expect(evidence.evaluate(6_000 + CRASH_WINDOW_MS)).toEqual([{ digest: 'content', incarnation: 'd' }])
    expect(evidence.getUncounted('content')).toEqual(['e'])
    evidence.clear('content')
    expect(evidence.getUncounted('content')).toEqual([])
  })

  it('should be recognized as the only request with its content when its caller sends it again', () => {
    const contents = new ContentsInProgress()
    const uses = Array.from({ length: 3 }, () => {
      const use = contents.begin('content')
      contents.end('content', use)
      return use
    })
    expect(uses.map(({ isShared }) => isShared)).toEqual([false, false, false])
    expect(contents.getSize()).toEqual(0)
  })

  it('should be refused for longer with each crash after a refusal has ended', () => {
    const list = new SuspectList()
    for (const incarnation of ['a', 'b', 'c']) list.add('d', incarnation, 0)
    let now = 0
    for (const [at, refusalMs] of REFUSAL_MS.entries()) {
      // A run that was in progress changes nothing.
      list.add('d', `in progress ${at}`, now + refusalMs - 1)
      expect([list.getRefusedMs('d', now), list.getRefusedMs('d', now + refusalMs - 1), list.getRefusedMs('d', now + refusalMs)])
        .toEqual([refusalMs, 1, 0])
      now += refusalMs
      list.add('d', `again ${at}`, now)
    }
  })

  it('should reach targets at most three times later than the contact time after its third crash, for five minutes', () => {
    for (const returnMs of [100, 500, 3_000, 6_000]) {
      const list = new SuspectList()
      for (const incarnation of ['a', 'b', 'c']) list.add('d', incarnation, 0)
      const runs: number[] = []
      for (let now = returnMs; now < 300_000; now += returnMs) {
        if (list.getRefusedMs('d', now) > 0) continue
        runs.push(now)
        list.add('d', `run ${now}`, now)
      }
      expect(runs.filter(at => at > CONTACT_MS).length).toBeLessThanOrEqual(3)
    }
  })
})

// RULES.md, LOST: nothing that was accepted is refused for good.
describe('a request that was in progress at targets that crash for another reason', () => {
  it('should not be refused when a failure domain goes down', () => {
    expect(getRefused([[0, 'x', 'a'], [3, 'y', 'b'], [40, 'z', 'c'], [CRASH_WINDOW_MS, 'w', 'd']])).toEqual([])
  })

  it('should count once when it is in progress at several targets of a failure domain', () => {
    const losses: Losses = [[0, 'x', 'a'], [3, 'y', 'b'], [40, 'x', 'c'], [60, 'x', 'd']]
    expect(evaluate(losses).filter(record => record.startsWith('x'))).toEqual(['x a'])
  })

  it('should not be suspected when its connection is lost and the target goes on with others', () => {
    expect(evaluate([[0, 'x', 'a', 9]])).toEqual([])
  })

  it('should not be suspected because of other programs, turns, methods and bodies', () => {
    const others: Array<Partial<SuspectIdentity>> = [
      { program: 'p2' }, { method: 'PUT' }, { host: 'g' }, { target: '/u' }, { previousTurn: 't2' }, { body: Buffer.from('x') }, { body: undefined }
    ]
    expect(new Set([TURN, ...others.map(other => ({ ...TURN, ...other }))].map(identity => getSuspectDigests(identity).request)).size)
      .toEqual(others.length + 1)
  })

  it('should not be suspected because of the same content in another workspace, or another content', () => {
    const others: Array<Partial<SuspectIdentity>> = [
      { workspace: 'w' }, { method: 'PUT' }, { host: 'g' }, { target: '/u' }, { body: Buffer.from('x') }, { body: undefined }
    ]
    expect(new Set([TURN, ...others.map(other => ({ ...TURN, ...other }))].map(identity => getSuspectDigests(identity).content)).size)
      .toEqual(others.length + 1)
  })

  // LOST: what is merely popular is in progress at most targets that go down.
  it('should count as answered for less than the time in which one that crashes targets is to be stopped', () => {
    const answered = new AnsweredRequests()
    answered.record('x', 0)
    answered.record('y', 1_000)
    expect(['x', 'y', 'z'].map(digest => answered.has(digest, ANSWERED_MS))).toEqual([false, true, false])
    expect(ANSWERED_MS).toBeLessThan(CONTACT_MS)
  })

  it('should share its content with all requests that are in progress at some time during it', () => {
    const contents = new ContentsInProgress()
    const [first, second] = [contents.begin('content'), contents.begin('content')]
    const other = contents.begin('other')
    contents.end('content', first)
    const third = contents.begin('content')
    contents.end('content', second)
    contents.end('content', third)
    const last = contents.begin('content')
    expect([first, second, other, third, last].map(({ isShared }) => isShared)).toEqual([true, true, false, true, false])
  })

  it('should count an incarnation once', () => {
    const list = new SuspectList()
    for (let at = 0; at < 5; at++) list.add('d', 'i-1@1', 0)
    expect(list.getRefusedMs('d', 0)).toEqual(0)
  })

  // A turn that was lost in three outages in a row was refused for a minute.
  it('should be refused for less than the contact time after three outages in a row', () => {
    const list = new SuspectList()
    for (const incarnation of ['a', 'b', 'c']) list.add('d', incarnation, 0)
    expect(list.getRefusedMs('d', 0)).toBeLessThan(CONTACT_MS / 2)
  })

  it('should not be suspected when its connection is lost and the target responds to a later request', () => {
    const evidence = new CrashEvidence()
    evidence.add({ digests: ['x'], incarnation: 'a', others: 0, targets: TARGETS, sentAt: 0 }, 10)
    evidence.disprove('b', 20)
    evidence.disprove('a', 9)
    expect(evidence.evaluate(CRASH_WINDOW_MS + 10)).toEqual([{ digest: 'x', incarnation: 'a' }])
    evidence.add({ digests: ['x'], incarnation: 'a', others: 0, targets: TARGETS, sentAt: 1_000 }, 1_010)
    evidence.disprove('a', 1_011)
    expect(evidence.evaluate(2_000)).toEqual([])
    evidence.add({ digests: ['x'], incarnation: 'b', others: 0, targets: TARGETS, sentAt: 3_000 }, 3_010)
    evidence.disprove('b', 3_010 + CRASH_WINDOW_MS)
    expect(evidence.evaluate(4_000)).toEqual([{ digest: 'x', incarnation: 'b' }])
  })

  it('should be forgotten', () => {
    const list = new SuspectList()
    for (const incarnation of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) list.add('d', incarnation, 0)
    expect([list.isConfirmed('d', SUSPECT_RETENTION_MS - 1), list.isConfirmed('d', SUSPECT_RETENTION_MS)]).toEqual([true, false])
    expect(list.add('d', 'i', SUSPECT_RETENTION_MS)).toEqual(false)
  })
})
