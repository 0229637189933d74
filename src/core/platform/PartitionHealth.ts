/** Milliseconds for which a failed partition is called after all others; outages last for seconds, and a check costs one call. */
export const PARTITION_PENALTY_MS = 1_000

/** Tracks which partitions of a table failed recently. */
export class PartitionHealth {
  private readonly _failedAt = new Map<string, number>()

  /** Records a response of a partition. */
  recordResponse (partition: string): void {
    this._failedAt.delete(partition)
  }

  /** Records a call to a partition that got no usable response. */
  recordFailure (partition: string, now: number): void {
    this._failedAt.set(partition, now)
  }

  /** Sorts partitions that failed recently last; otherwise keeps their order. */
  sort (partitions: readonly string[], now: number): string[] {
    return [...partitions].sort((a, b) => Number(this.hasFailedRecently(a, now)) - Number(this.hasFailedRecently(b, now)))
  }

  /** Checks whether a partition failed recently. */
  hasFailedRecently (partition: string, now: number): boolean {
    return now - (this._failedAt.get(partition) ?? -Infinity) < PARTITION_PENALTY_MS
  }
}
