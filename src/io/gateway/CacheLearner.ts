import { setTimeout as sleep } from 'node:timers/promises'
import type { CacheSource, TargetState } from '../../core/target/index.js'
import type { DecisionLog } from '../process/index.js'

/** Milliseconds for one list; targets answer it between two steps of their work. */
const LIST_TIMEOUT_MS = 1_000

/** Milliseconds between two looks for whether targets are known. */
const POLL_MS = 20

/** Options of {@link CacheLearner}. */
export interface CacheLearnerOptions {
  readonly source: CacheSource
  readonly log: DecisionLog
  /** Gets the targets that cache prompts and are near enough to be used; undefined until they are known. */
  readonly getTargets: () => readonly TargetState[] | undefined
}

/**
 * Asks targets once what they have cached.
 *
 * Answers a restart of many gateways under load: their callers come again at the same moment, and without this each prompt would be read
 * anew at whatever target is near.
 */
export class CacheLearner {
  private readonly _options: CacheLearnerOptions

  constructor (options: CacheLearnerOptions) {
    this._options = options
  }

  /** Learns what the targets have; resolves when each has answered or failed. */
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
      state.cached.add(segments)
      log.info('cache-learned', { target: state.lifetime, parts: segments.length })
    } catch (err) {
      log.warn('cache-not-learned', { target: state.lifetime, cause: err instanceof Error ? err.message : String(err) })
    }
  }
}
