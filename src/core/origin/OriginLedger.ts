import type { Clock } from '../clock/index.js'
import type { StreamOrigin } from './StreamOrigin.js'

/** Maximum number of streams that are remembered; the oldest are evicted. */
export const MAX_REMEMBERED_STREAMS = 50_000

interface LedgerEntry {
  readonly origin: StreamOrigin
  readonly expiresAt: number
}

/** Remembers the origins of streams that this gateway began or looked up. */
export class OriginLedger {
  private readonly _clock: Clock
  private readonly _entries = new Map<string, LedgerEntry>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Adds a stream. */
  add (stream: string, origin: StreamOrigin, retentionMs: number): void {
    const now = this._clock.now()
    this._entries.set(stream, { origin, expiresAt: now + retentionMs })
    for (const [oldest, { expiresAt }] of this._entries) {
      if (expiresAt > now && this._entries.size <= MAX_REMEMBERED_STREAMS) return
      this._entries.delete(oldest)
    }
  }

  /** Gets the origin of a stream; undefined if it is not remembered. */
  get (stream: string): StreamOrigin | undefined {
    const entry = this._entries.get(stream)
    return entry !== undefined && entry.expiresAt > this._clock.now() ? entry.origin : undefined
  }
}
