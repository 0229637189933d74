import { setTimeout as sleep } from 'node:timers/promises'
import type { CacheSource, TargetState } from '../../core/target/index.js'
import type { DecisionLog } from '../process/index.js'

/** Milliseconds for one list; an engine responds between two steps of its work. */
const LIST_TIMEOUT_MS = 1_000

/** Milliseconds between two checks whether the targets were read from the store. */
const POLL_MS = 20

/** Options of {@link CacheLearner}. */
export interface CacheLearnerOptions {
  readonly source: CacheSource
  readonly log: DecisionLog
  /** Gets the targets of the local region that cache prompts; undefined until configuration and targets were read. */
  readonly getTargets: () => readonly TargetState[] | undefined
}

/**
 * Reads once which prompt segments the targets have cached.
 *
 * Needed when many gateways restart under load: their callers retry at the same moment, and without the lists each prompt would be
 * processed again at any nearby target.
 */
export class CacheLearner {
  private readonly _options: CacheLearnerOptions

  constructor (options: CacheLearnerOptions) {
    this._options = options
  }

  /** Reads the lists of all targets; resolves when each call has succeeded or failed. */
  async learn (): Promise<void> {
    let targets = this._options.getTargets()
    while (targets === undefined) {
      await sleep(POLL_MS)
      targets = this._options.getTargets()
    }
    await Promise.all(targets.map(async state => { await this._learnFrom(state) }))
  }

  private async _learnFrom (state: TargetState): Promise<void> {
    const { source, log } = this._options
    try {
      const segments = await source.list(state.target, LIST_TIMEOUT_MS)
      state.prefixCache.add(segments)
      log.info('cache-learned', { target: state.incarnation, parts: segments.length })
    } catch (err) {
      log.warn('cache-not-learned', { target: state.incarnation, cause: err instanceof Error ? err.message : String(err) })
    }
  }
}
