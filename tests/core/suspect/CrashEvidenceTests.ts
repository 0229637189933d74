import { expect } from 'earl'
import fc from 'fast-check'
import { CRASH_WINDOW_MS, CrashEvidence, ABANDONED_GRACE_MS, type CrashRecord } from '../../../src/core/suspect/index.js'

/** Milliseconds after the end of a target after which the store shows it, at least and at most: three intervals of reports and a watch. */
const MIN_EXPIRY_MS = 2_400
const MAX_EXPIRY_MS = 5_200

/** Milliseconds in which a gateway waits for an answer, at most. */
const MAX_WAIT_MS = 2_000

/** What a gateway sees of a run, by time. */
interface Sight {
  readonly at: number
  readonly see: (evidence: CrashEvidence, now: number) => CrashRecord[]
}

/** How the end of a target looks that runs a request. */
const END_FORMS = {
  /** All connections are lost while the gateway waits. */
  reset: 'reset',
  /** Nothing is lost; the time of the request is over before the end is known. */
  silent: 'silent',
  /** The gateway stops waiting, and the target loses its other connections soon after. */
  resetAfterAbandoned: 'reset-after-abandoned',
  /** The gateway stops waiting, and the target falls silent soon after. */
  silentAfterAbandoned: 'silent-after-abandoned',
  /** Only the connection of the request is lost. */
  resetOne: 'reset-one'
} as const
type EndForm = typeof END_FORMS[keyof typeof END_FORMS]

/** Checks whether the gateway stops waiting before the target ends. */
function isAbandonedFirst (form: EndForm): boolean {
  return form === END_FORMS.resetAfterAbandoned || form === END_FORMS.silentAfterAbandoned
}

/** A run of a request at a target. */
interface DrawnRun {
  readonly form: EndForm
  /** Milliseconds for which the gateway waits, unless the connection is lost. */
  readonly waitMs: number
  /** Milliseconds between the run's start and the end of the target, or between the end of the wait and it. */
  readonly endMs: number
  readonly expiryMs: number
}

const RUN: fc.Arbitrary<DrawnRun> = fc.record({
  form: fc.constantFrom(...Object.values(END_FORMS)),
  waitMs: fc.integer({ min: 20, max: MAX_WAIT_MS }),
  endMs: fc.integer({ min: 0, max: 400 }),
  expiryMs: fc.integer({ min: MIN_EXPIRY_MS, max: MAX_EXPIRY_MS })
})

/** Gets what a gateway sees of a run that ends its target, and the time at which it stops waiting. */
function getSights (
  sentAt: number, incarnation: string, { form, waitMs, endMs, expiryMs }: DrawnRun
): { sights: Sight[], abandonedAt: number } {
  const run = { digests: ['x'], incarnation, sentAt }
  const isAbandoned = isAbandonedFirst(form)
  const endedAt = isAbandoned ? sentAt + waitMs + endMs : sentAt + endMs
  const isLost = form === 'reset' || form === 'reset-one'
  const abandonedAt = isLost ? endedAt : sentAt + waitMs + (form === 'silent' ? endMs : 0)
  const infer: Sight = {
    at: Math.max(endedAt + expiryMs, abandonedAt),
    see: (evidence, now) => evidence.infer(incarnation, () => endedAt, now)
  }
  const evaluate: Sight = { at: endedAt + CRASH_WINDOW_MS, see: (evidence, now) => evidence.evaluate(now) }
  const lose = (digests: readonly string[], others: number): Sight => ({
    at: endedAt,
    see: (evidence, now) => {
      evidence.add({ digests, incarnation, sentAt, others, targets: 9 }, now)
      return []
    }
  })
  const leave: Sight = {
    at: abandonedAt,
    see: evidence => {
      evidence.addAbandoned({ ...run, abandonedAt })
      return []
    }
  }
  if (form === 'reset') return { sights: [lose(['x'], 1), lose([`plain ${incarnation}`], 0), evaluate, infer], abandonedAt }
  if (form === 'reset-one') return { sights: [lose(['x'], 9), evaluate, infer], abandonedAt }
  if (form === 'reset-after-abandoned') return { sights: [leave, lose([`plain ${incarnation}`], 0), evaluate, infer], abandonedAt }
  return { sights: [leave, infer], abandonedAt }
}

/** Plays what a gateway sees in order; returns how often crashes were counted against a request, each target once. */
function countCrashes (sights: readonly Sight[], digest = 'x'): number {
  const evidence = new CrashEvidence()
  const incarnations = new Set<string>()
  for (const { at, see } of [...sights].sort((a, b) => a.at - b.at)) {
    for (const record of see(evidence, at)) if (record.digest === digest) incarnations.add(record.incarnation)
  }
  return incarnations.size
}

// BUDGET: only the loss of a request's own connection, while its gateway waited, was evidence.
describe('evidence of a request that ends its targets', () => {
  it('should count each of them once, however the ends look', () => {
    fc.assert(fc.property(fc.array(fc.tuple(RUN, fc.integer({ min: 1, max: 3_000 })), { minLength: 1, maxLength: 6 }), runs => {
      let now = 0
      const sights = runs.flatMap(([run, pauseMs], at) => {
        const played = getSights(now, `target${at}`, run)
        now = played.abandonedAt + pauseMs
        return played.sights
      })
      expect(countCrashes(sights)).toEqual(runs.length)
    }))
  })
})

// LOST: what holds a request past its time, and goes on, was not ended by it.
describe('evidence of a request that ends no target', () => {
  it('should not count targets that were heard after it, in whatever order and however they end later', () => {
    const hold = fc.record({
      waitMs: fc.integer({ min: 1, max: MAX_WAIT_MS }),
      heardMs: fc.integer({ min: ABANDONED_GRACE_MS + 1, max: 9_000 }),
      endMs: fc.integer({ min: 0, max: 5_000 })
    })
    fc.assert(fc.property(fc.array(fc.tuple(hold, fc.integer({ min: 0, max: 3_000 })), { maxLength: 6 }), holds => {
      let now = 0
      const sights = holds.flatMap(([{ waitMs, heardMs, endMs }, pauseMs], at): Sight[] => {
        const abandonedAt = now + waitMs
        const run = { digests: ['x'], incarnation: `target${at}`, sentAt: now, abandonedAt }
        now = abandonedAt + pauseMs
        const heardAt = abandonedAt + heardMs
        return [
          { at: abandonedAt, see: evidence => { evidence.addAbandoned(run); return [] } },
          { at: heardAt + endMs, see: (evidence, time) => evidence.infer(run.incarnation, () => heardAt, time) }
        ]
      })
      expect(countCrashes(sights)).toEqual(0)
    }))
  })

  it('should count one outage once, for copies that were in progress at several targets, however each of them ends', () => {
    const outageAt = 2_000
    fc.assert(fc.property(fc.array(RUN, { minLength: 1, maxLength: 6 }), runs => {
      const sights = runs.flatMap((run, at) => {
        const isAbandoned = isAbandonedFirst(run.form)
        const endMs = isAbandoned ? run.endMs : outageAt + run.endMs
        // All were sent before the first target ended, so that none is a retry.
        return getSights(0, `target${at}`, { ...run, endMs, waitMs: isAbandoned ? outageAt : MAX_WAIT_MS + run.waitMs }).sights
      })
      expect(countCrashes(sights)).toBeLessThanOrEqual(1)
    }))
  })

  it('should not count a target that was silent before it was sent', () => {
    const evidence = new CrashEvidence()
    evidence.addAbandoned({ digests: ['x'], incarnation: 'a', sentAt: 0, abandonedAt: 1_000, wasSilent: true })
    expect(evidence.infer('a', () => -Infinity, 4_000)).toEqual([])
  })

  it('should not count a target to which it was sent after its end had been seen', () => {
    const evidence = new CrashEvidence()
    evidence.add({ digests: ['plain'], incarnation: 'a', sentAt: 0, others: 0, targets: 9 }, 100)
    evidence.evaluate(100 + CRASH_WINDOW_MS)
    evidence.addAbandoned({ digests: ['x'], incarnation: 'a', sentAt: 101, abandonedAt: 1_000 })
    expect(evidence.infer('a', () => -Infinity, 4_000)).toEqual([])
  })

  it('should not count a target that ended longer after the gateway had stopped waiting than it works on', () => {
    const evidence = new CrashEvidence()
    evidence.addAbandoned({ digests: ['x'], incarnation: 'a', sentAt: 0, abandonedAt: 100 })
    evidence.add({ digests: ['plain'], incarnation: 'a', sentAt: 0, others: 0, targets: 9 }, 101 + ABANDONED_GRACE_MS)
    expect(evidence.evaluate(101 + ABANDONED_GRACE_MS + CRASH_WINDOW_MS)).toEqual([{ digest: 'plain', incarnation: 'a' }])
  })

  it('should be taken back, once, when an incarnation lives that was taken for gone', () => {
    const evidence = new CrashEvidence()
    evidence.addAbandoned({ digests: ['x', 'y'], incarnation: 'a', sentAt: 0, abandonedAt: 1_000 })
    const counted = evidence.infer('a', () => 0, 4_000)
    expect(counted.map(({ digest }) => digest)).toEqual(['x', 'y'])
    expect([evidence.retract('b'), evidence.retract('a'), evidence.retract('a')]).toEqual([[], counted, []])
  })

  it('should be cleared by an answer, and by a sign that the target goes on', () => {
    const evidence = new CrashEvidence()
    for (const digest of ['x', 'y']) evidence.addAbandoned({ digests: [digest], incarnation: digest, sentAt: 0, abandonedAt: 1_000 })
    evidence.clear('x')
    evidence.recordAlive('y')
    for (const digest of ['x', 'y']) {
      expect(evidence.infer(digest, () => 0, 4_000)).toEqual([])
      expect(evidence.getAbandoned(digest)).toEqual([])
    }
  })
})
