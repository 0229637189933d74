import type { SoakFaultName } from './SoakPlan.js'

/** A plan that broke a promise. */
export interface SoakRegression {
  readonly seed: number
  readonly seconds: number
  readonly only: readonly SoakFaultName[]
  readonly cause: string
}

/** Plans that broke a promise before their cause was fixed; CI replays them. */
export const SOAK_REGRESSIONS: readonly SoakRegression[] = [
  { seed: 1, seconds: 6, only: ['unframed'], cause: 'a response without a length that was reset was relayed as complete' },
  { seed: 1, seconds: 6, only: ['half-requests'], cause: 'a request that was answered 408 after a pause was read on and ran' },
  { seed: 1, seconds: 8, only: ['silence'], cause: 'a stream was ended after half of its caller\'s wait' },
  { seed: 1, seconds: 1, only: ['crashing-request'], cause: 'requests without a body were not recognized as crashing targets' },
  { seed: 3823, seconds: 5, only: ['crashing-request'], cause: 'a target that was back under its id took back the crash of its former incarnation' },
  { seed: 3833, seconds: 5, only: ['crashing-request'], cause: 'a target that was back under its id took back the crash of its former incarnation' },
  { seed: 3839, seconds: 5, only: ['crashing-request'], cause: 'a target that was back under its id took back the crash of its former incarnation' },
  { seed: 5302, seconds: 6, only: ['crash-forms'], cause: 'the next incarnation of a target was taken for the one that had ended' },
  { seed: 7002, seconds: 5, only: ['crash-senders'], cause: 'a request that crashes targets was known by its sender' },
  { seed: 3, seconds: 1, only: ['crashes'], cause: 'turns with a common input were refused for good after a crash' },
  { seed: 1, seconds: 5, only: ['large-breaks'], cause: 'a large response that was broken off was not ended' },
  { seed: 1, seconds: 5, only: ['resumed-turns'], cause: 'a resumed turn was saved without its first events' },
  { seed: 2, seconds: 8, only: ['endless'], cause: 'the events of a stream without end were kept in memory' },
  { seed: 1, seconds: 6, only: ['leaving'], cause: 'no gateway read the notice that a target leaves' },
  { seed: 12, seconds: 6, only: ['odd-rows'], cause: 'an odd row of a gateway ended the processes that read it' },
  { seed: 1, seconds: 5, only: ['kept-channels'], cause: 'a stop cut bookings on connections that were kept from a stream' },
  { seed: 1, seconds: 10, only: ['handover'], cause: 'a stop cut bookings that arrived while reserves were handed over' }
]
