import { CellRate } from '../limits/index.js'

/** Bytes a second of one stream that are read from its target on average: one event of 2.5 KiB for each step of 5 ms of a fast engine. */
export const STREAM_BYTES_PER_SECOND = 524_288

/** Bytes of one stream that are read at once after a pause, as when a target catches up. */
export const STREAM_BURST_BYTES = 131_072

/**
 * Paces the reading of one stream, over all targets that send parts of it.
 *
 * Handles targets that send events as fast as they are read: many such streams would take the processor from all other requests until
 * each has reached its limit.
 */
export class StreamRate {
  private readonly _rate = new CellRate()

  /** Counts bytes that were read; returns the milliseconds after which more may be read. */
  add (bytes: number, now: number): number {
    this._rate.add(now, toMs(bytes))
    return this._rate.getWaitMs(now, toMs(STREAM_BURST_BYTES))
  }
}

/** Gets the milliseconds that bytes take at the mean rate. */
function toMs (bytes: number): number {
  return bytes / STREAM_BYTES_PER_SECOND * 1_000
}
