import { Clock } from '../../core/clock/index.js'

/** A monotonic clock; zero is the start of the process. */
export class SteadyClock extends Clock {
  now (): number {
    return performance.now()
  }
}
