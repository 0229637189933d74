import { expect } from 'earl'
import { decideRetry, type AttemptHistory } from '../../../src/core/forward/index.js'

describe('decideRetry', () => {
  const base: AttemptHistory = { sends: 1, runs: 0, isRepeatable: false, maxAttempts: 2, remainingMs: 1_000 }

  it('should not resend a request that may have run and is not repeatable', () => {
    expect(decideRetry({ ...base, runs: 1 })).toEqual({ type: 'refuse', reason: 'attempts-failed' })
  })

  it('should try further targets while each one stated that it did not run the request', () => {
    expect(decideRetry({ ...base, sends: 4 })).toEqual({ type: 'retry' })
    expect(decideRetry({ ...base, sends: 5 })).toEqual({ type: 'refuse', reason: 'retries-exhausted' })
  })

  it('should resend a repeatable request up to the attempts of its route', () => {
    expect(decideRetry({ ...base, isRepeatable: true, runs: 1 })).toEqual({ type: 'retry' })
    expect(decideRetry({ ...base, isRepeatable: true, sends: 2, runs: 2 })).toEqual({ type: 'refuse', reason: 'attempts-failed' })
  })

  it('should refuse as not run only when no dispatch may have run', () => {
    expect(decideRetry({ ...base, remainingMs: 5 })).toEqual({ type: 'refuse', reason: 'timeout-not-run' })
    expect(decideRetry({ ...base, runs: 1, remainingMs: 5 })).toEqual({ type: 'refuse', reason: 'deadline-passed' })
  })
})
