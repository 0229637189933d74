import { expect } from 'earl'
import { ConnectionAge, ConnectionPhase } from '../../../src/core/connection/index.js'

const LIMITS = { idle: 1_000, head: 300, body: 3_000 }
const SHORTER = { idle: 100, head: 30, body: 300 }
const LONGER = { idle: 10_000, head: 3_000, body: 30_000 }

describe('ConnectionAge', () => {
  const phases = [ConnectionPhase.Idle, ConnectionPhase.Head, ConnectionPhase.Body]

  for (const phase of phases) {
    it(`should keep the limit of phase "${phase}" when a later one is shorter, and take a longer one`, () => {
      const age = new ConnectionAge(0, LIMITS)
      age.enter(phase, 5_000, LIMITS)
      const getOverdue = (afterMs: number): boolean[] => [SHORTER, LIMITS, LONGER].map(limits => age.isOverdue(5_000 + afterMs, limits))
      expect([LIMITS[phase], LIMITS[phase] + 1, LONGER[phase] + 1].map(getOverdue)).toEqual([
        [false, false, false], [true, true, false], [true, true, true]
      ])
    })
  }

  it('should count a new connection as one that sends a head', () => {
    expect([300, 301].map(now => new ConnectionAge(0, LIMITS).isOverdue(now, LIMITS))).toEqual([false, true])
  })

  it('should not limit a response', () => {
    const age = new ConnectionAge(0, LIMITS)
    age.enter(ConnectionPhase.Response, 0, LIMITS)
    expect(age.isOverdue(1_000_000, LIMITS)).toEqual(false)
  })
})
