import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { PartitionHealth, StoreError } from '../../core/platform/index.js'

/** Milliseconds after which the next part is called as well; a store that is sixty times slower than usual answers within them. */
export const STAGGER_MS = 300

/** Milliseconds between two rounds over parts that did not answer. */
const PAUSE_MS = 100

/** Options of {@link PartitionFallback}. */
export interface PartitionFallbackOptions {
  readonly clock: Clock
  /** Notes that a part gave no answer and that it or another one is called. */
  readonly onRetry: (err: StoreError) => void
}

/** How long parts are called again. */
export interface PartitionCallOptions {
  readonly deadline: number
  /** Tells whether a further round is known to fail. */
  readonly shouldGiveUp?: () => boolean
}

/** One call of a part; undefined when it answers that it has nothing. */
export type PartitionCall<T> = (partition: string) => Promise<T | undefined>

interface Round<T> {
  readonly found: T | undefined
  /** Parts that gave no answer. */
  readonly failed: readonly string[]
  readonly err: StoreError | undefined
}

/**
 * Calls the parts that may hold a row, one after the other, until one has it.
 *
 * Answers outages of some parts of the store: what would lie in a part that is away goes to another one that all gateways look in.
 */
export class PartitionFallback {
  private readonly _options: PartitionFallbackOptions
  private readonly _health = new PartitionHealth()

  constructor (options: PartitionFallbackOptions) {
    this._options = options
  }

  /**
   * Gets the first result; undefined when every part has answered that it has none.
   *
   * @remarks Rejects when the deadline passes, or another round is not worth while, before that.
   */
  async call<T> (partitions: readonly string[], options: PartitionCallOptions, call: PartitionCall<T>): Promise<T | undefined> {
    const { deadline, shouldGiveUp: shouldGiveUp = () => false } = options
    let remaining = partitions
    for (;;) {
      const round = await this._callRound(this._health.sort(remaining, this._options.clock.now()), call)
      if (round.found !== undefined || round.err === undefined) return round.found
      remaining = round.failed
      if (shouldGiveUp() || this._options.clock.now() + PAUSE_MS >= deadline) throw round.err
      await sleep(PAUSE_MS)
    }
  }

  /** Calls each part once: the next one when the one before has failed, has nothing, or takes long. */
  private async _callRound<T> (partitions: readonly string[], call: PartitionCall<T>): Promise<Round<T>> {
    return await new Promise((resolve, reject) => {
      const failed: string[] = []
      let err: StoreError | undefined
      let started = 0
      let completed = 0
      let timer: NodeJS.Timeout | undefined
      const finish = (found: T | undefined): void => {
        clearTimeout(timer)
        resolve({ found, failed, err })
      }
      const startNext = (): void => {
        clearTimeout(timer)
        const partition = partitions[started++]!
        if (started < partitions.length) timer = setTimeout(startNext, STAGGER_MS)
        this._callPartition(partition, call).then(found => {
          completed++
          if (found !== undefined || completed === partitions.length) finish(found)
          else if (started < partitions.length) startNext()
        }, (reason: unknown) => {
          if (!(reason instanceof StoreError)) {
            clearTimeout(timer)
            reject(reason instanceof Error ? reason : new Error(String(reason)))
            return
          }
          completed++
          err = reason
          failed.push(partition)
          this._options.onRetry(reason)
          if (completed === partitions.length) finish(undefined)
          else if (started < partitions.length) startNext()
        })
      }
      startNext()
    })
  }

  private async _callPartition<T> (partition: string, call: PartitionCall<T>): Promise<T | undefined> {
    try {
      const found = await call(partition)
      this._health.recordResponse(partition)
      return found
    } catch (err) {
      this._health.recordFailure(partition, this._options.clock.now())
      throw err
    }
  }
}
