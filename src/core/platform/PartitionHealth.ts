/** Milliseconds for which a part that failed is called after all others; outages last for seconds, and a look costs one call. */
export const PARTITION_PENALTY_MS = 1_000

/** Remembers which parts of a table failed lately. */
export class PartitionHealth {
  private readonly _failedAt = new Map<string, number>()

  /** Notes an answer of a part. */
  recordResponse (partition: string): void {
    this._failedAt.delete(partition)
  }

  /** Notes a call of a part without an answer. */
  recordFailure (partition: string, now: number): void {
    this._failedAt.set(partition, now)
  }

  /** Sorts parts so that those that failed lately come last; others keep their order. */
  sort (partitions: readonly string[], now: number): string[] {
    return [...partitions].sort((a, b) => Number(this.hasFailedRecently(a, now)) - Number(this.hasFailedRecently(b, now)))
  }

  /** Tells whether a part failed lately. */
  hasFailedRecently (partition: string, now: number): boolean {
    return now - (this._failedAt.get(partition) ?? -Infinity) < PARTITION_PENALTY_MS
  }
}
