import { expect } from 'earl'
import { decideRetry, type AttemptHistory } from '../../../src/core/forward/index.js'

describe('decideRetry', () => {
  const base: AttemptHistory = { sends: 1, runs: 0, isRepeatable: false, maxAttempts: 2, remainingMs: 1_000 }

  it('should never send again what may have run and may not be repeated', () => {
    expect(decideRetry({ ...base, runs: 1 })).toEqual({ type: 'refuse', reason: 'attempts-failed' })
  })

  it('should ask further targets while each stated that it did not run the request', () => {
    expect(decideRetry({ ...base, sends: 4 })).toEqual({ type: 'retry' })
    expect(decideRetry({ ...base, sends: 5 })).toEqual({ type: 'refuse', reason: 'retries-exhausted' })
  })

  it('should repeat what may be repeated up to the attempts of its route', () => {
    expect(decideRetry({ ...base, isRepeatable: true, runs: 1 })).toEqual({ type: 'retry' })
    expect(decideRetry({ ...base, isRepeatable: true, sends: 2, runs: 2 })).toEqual({ type: 'refuse', reason: 'attempts-failed' })
  })

  it('should say that nothing ran only when nothing may have', () => {
    expect(decideRetry({ ...base, remainingMs: 5 })).toEqual({ type: 'refuse', reason: 'timeout-not-run' })
    expect(decideRetry({ ...base, runs: 1, remainingMs: 5 })).toEqual({ type: 'refuse', reason: 'deadline-passed' })
  })
})
