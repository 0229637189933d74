import { Clock } from '../../core/clock/index.js'

/** The wall clock of the operating system. */
export class SystemClock extends Clock {
  now (): number {
    return Date.now()
  }
}
