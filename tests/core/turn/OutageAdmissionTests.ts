import { expect } from 'earl'
import { shouldRunTurn } from '../../../src/core/turn/index.js'

/** Milliseconds that callers of the replayed load wait for the end of a stream, and that one of their tries may take. */
const MAX_WAIT_MS = 2_400
const TRY_MS = 4_000

/** Milliseconds between a failed turn and its resend, and the number of resends. */
const RESEND_PAUSE_MS = 100
const RESENDS = 2

describe('shouldRunTurn', () => {
  it('should run every turn while the store is available', () => {
    expect(shouldRunTurn({ isStoreUnavailable: false, remainingMs: TRY_MS, maxWaitMs: MAX_WAIT_MS })).toEqual(true)
  })

  it('should refuse a turn while a retry can still wait for the maximum time, and run the last try', () => {
    expect(shouldRunTurn({ isStoreUnavailable: true, remainingMs: TRY_MS, maxWaitMs: MAX_WAIT_MS })).toEqual(false)
    expect(shouldRunTurn({ isStoreUnavailable: true, remainingMs: TRY_MS * 2 / 3, maxWaitMs: MAX_WAIT_MS })).toEqual(true)
  })

  it('should run the turn of a caller that has no time to retry', () => {
    expect(shouldRunTurn({ isStoreUnavailable: true, remainingMs: 1_000, maxWaitMs: MAX_WAIT_MS })).toEqual(true)
  })

  // In an outage of the whole store, a caller tries a turn twice, and resends it with a new deadline twice more.
  it('should let a turn outlast a longer outage than running it at once or never does', () => {
    const run = getLongestOutage(() => true)
    const refuse = getLongestOutage(() => false)
    const decide = getLongestOutage(remainingMs => shouldRunTurn({ isStoreUnavailable: true, remainingMs, maxWaitMs: MAX_WAIT_MS }))
    expect([refuse < run, run < decide]).toEqual([true, true])
  })
})

/** Gets the milliseconds from the start of an outage until a turn that arrived at that time has used up its tries. */
function getLongestOutage (shouldRun: (remainingMs: number) => boolean): number {
  let time = 0
  for (let send = 0; send <= RESENDS; send++) {
    const deadline = time + TRY_MS
    for (let tries = 0; tries < 2; tries++) {
      if (shouldRun(deadline - time)) {
        time = Math.min(deadline, time + MAX_WAIT_MS)
        break
      }
      // A caller retries after a third of its remaining time at most, and only once.
      if (tries === 0) time += (deadline - time) / 3
    }
    time += RESEND_PAUSE_MS
  }
  return time
}
