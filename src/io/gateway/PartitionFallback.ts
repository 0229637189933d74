import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { PartitionHealth, StoreError, StoreFailure } from '../../core/platform/index.js'

/** Milliseconds after which the next partition is called too; a store that is sixty times slower than usual still responds in time. */
export const STAGGER_MS = 300

/** Milliseconds between two rounds over partitions whose calls failed. */
const PAUSE_MS = 100

/** Options of {@link PartitionFallback}. */
export interface PartitionFallbackOptions {
  readonly clock: Clock
  /** Called when the call of a partition has failed and it or another one may be called next. */
  readonly onRetry: (err: StoreError) => void
}

/** Limits for repeating failed calls. */
export interface PartitionCallOptions {
  readonly deadline: number
  /** Checks whether a further round would fail, so that none is started. */
  readonly shouldGiveUp?: () => boolean
}

/** One call of a partition; resolves with undefined when the partition does not have the row. */
export type PartitionCall<T> = (partition: string) => Promise<T | undefined>

interface Round<T> {
  readonly found: T | undefined
  /** Partitions whose calls failed. */
  readonly failed: readonly string[]
  readonly err: StoreError | undefined
}

/**
 * Calls the partitions that may hold a row, one after the other, until one returns a result.
 *
 * Needed when some partitions of the store are unavailable: their rows are written to other partitions, which all gateways read too.
 */
export class PartitionFallback {
  private readonly _options: PartitionFallbackOptions
  private readonly _health = new PartitionHealth()

  constructor (options: PartitionFallbackOptions) {
    this._options = options
  }

  /**
   * Gets the first result; undefined when every partition has responded that it has none.
   *
   * @remarks Rejects with the latest error when a partition still fails at the deadline, or when no further round should be started.
   */
  async call<T> (partitions: readonly string[], options: PartitionCallOptions, call: PartitionCall<T>): Promise<T | undefined> {
    const { deadline, shouldGiveUp = () => false } = options
    let remaining = partitions
    for (;;) {
      const round = await this._callRound(this._health.sort(remaining, this._options.clock.now()), call)
      if (round.found !== undefined || round.err === undefined) return round.found
      remaining = round.failed
      if (shouldGiveUp() || round.err.failure === StoreFailure.Rejected || this._options.clock.now() + PAUSE_MS >= deadline) throw round.err
      await sleep(PAUSE_MS)
    }
  }

  /** Calls each partition once: the next one when the previous one has failed, has no result, or takes longer than the stagger time. */
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
      const isRejected = err instanceof StoreError && err.failure === StoreFailure.Rejected
      if (!isRejected) this._health.recordFailure(partition, this._options.clock.now())
      throw err
    }
  }
}
