/** Largest number of bytes of one stream by default: a thousand for each of 8,000 events. */
export const MAX_STREAM_BYTES = 8_388_608

/** Bytes of the stream that are allowed for each token of the caller's maximum. */
const BYTES_PER_TOKEN = 1_024

/** Events that are allowed beside those that count towards the caller's maximum of tokens: all of them if the caller states none. */
const MAX_UNCOUNTED_EVENTS = 8_192

/** Options of {@link StreamLimit}. */
export interface StreamLimitOptions {
  /** Largest number of tokens that the stream may have; 0 if the caller states none. */
  readonly maxTokens: number
}

/** An event as counted by {@link StreamLimit}. */
export interface CountedEvent {
  /** Number of bytes as received. */
  readonly bytes: number
  /** Tokens of the event; 0 for an event without data. */
  readonly tokens: number
}

/**
 * Limits a stream to the caller's maximum number of tokens, and its bytes and events, over all targets that send parts of it.
 *
 * The last event may have fewer tokens than the others, so an event exceeds the maximum only when earlier events have reached it.
 */
export class StreamLimit {
  private readonly _maxTokens: number
  private readonly _maxBytes: number
  private _tokens = 0
  private _bytes = 0
  private _uncountedEvents = 0

  constructor (options: StreamLimitOptions) {
    this._maxTokens = options.maxTokens
    this._maxBytes = Math.max(MAX_STREAM_BYTES, options.maxTokens * BYTES_PER_TOKEN)
  }

  /** Counts an event; returns the limit that it exceeds, or undefined if it may be relayed. */
  add (event: CountedEvent): string | undefined {
    this._bytes += event.bytes
    if (this._bytes > this._maxBytes) return `the stream exceeds ${this._maxBytes} bytes`
    if (this._maxTokens <= 0 || event.tokens === 0) {
      this._uncountedEvents++
      return this._uncountedEvents > MAX_UNCOUNTED_EVENTS ? `the stream exceeds ${MAX_UNCOUNTED_EVENTS} events` : undefined
    }
    if (this._tokens >= this._maxTokens) return `the stream exceeds ${this._maxTokens} tokens`
    this._tokens += event.tokens
    return undefined
  }
}
