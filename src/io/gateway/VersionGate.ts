import { setTimeout as sleep } from 'node:timers/promises'
import { getOrigin, type BegunStream } from '../../core/origin/index.js'
import type { Target } from '../../core/target/index.js'
import type { DecisionLog } from '../process/index.js'
import type { VersionStore } from './VersionStore.js'

/** Milliseconds between two checks while a request waits for the version of its target. */
const POLL_MS = 20

/** Options of {@link VersionGate}. */
export interface VersionGateOptions {
  readonly versions: Pick<VersionStore, 'isStored'>
  /** Checks whether the list of targets was confirmed since the latest pause of the process. */
  readonly isListCurrent: () => boolean
  readonly log: DecisionLog
}

/** Withholds targets from streams that may be resumed while it is not certain at which version they would run. */
export class VersionGate {
  private readonly _options: VersionGateOptions

  constructor (options: VersionGateOptions) {
    this._options = options
  }

  /** Checks whether a target may send events of a stream that may be resumed, now; the stream is undefined for a new one. */
  isKnown (target: Target, stream: BegunStream | undefined): boolean {
    // A target may have started again under its id with another version while the process was paused.
    if (!this._options.isListCurrent()) return false
    // A caller that does not name its stream is continued by the versions in the store, so a stream begins only at one of them.
    return stream !== undefined || this._options.versions.isStored(getOrigin(target))
  }

  /** Waits while all targets of a request are withheld; returns whether they no longer are. */
  async wait (req: string, isWithheld: () => boolean, getRemainingMs: () => number): Promise<boolean> {
    if (!isWithheld()) return true
    while (isWithheld() && getRemainingMs() > POLL_MS) await sleep(POLL_MS)
    const isStillWithheld = isWithheld()
    this._options.log.info('version-awaited', { req, isWithheld: isStillWithheld, isListCurrent: this._options.isListCurrent() })
    return !isStillWithheld
  }
}
