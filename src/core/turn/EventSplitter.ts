const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** Largest number of bytes of one event by default; an event holds a few tokens. */
export const MAX_EVENT_BYTES = 262_144

/** One complete event of an event stream. */
export interface StreamEvent {
  /** Bytes as received, including the empty line at the end. */
  readonly bytes: Buffer
  /** Id of the event, or an empty string. */
  readonly id: string
  /** Data lines joined by line feeds; undefined when the event has none. */
  readonly data: string | undefined
}

/** Position within the end of an event, which is an empty line: `\n\n` or `\n\r\n`. */
const EndMatch = { None: 0, LineFeed: 1, CarriageReturn: 2 } as const
type EndMatch = typeof EndMatch[keyof typeof EndMatch]

/** Options of {@link EventSplitter}. */
export interface EventSplitterOptions {
  /** Largest number of bytes that an event may have. */
  readonly maxEventBytes?: number
}

/**
 * Splits the bytes of an event stream into complete events.
 *
 * Handles targets that send bytes without end that are no events: each byte is scanned once, and the bytes that are kept are bounded.
 */
export class EventSplitter {
  private readonly _maxEventBytes: number
  /** Bytes after the last complete event. */
  private _chunks: Buffer[] = []
  private _length = 0
  private _match: EndMatch = EndMatch.None
  private _isTooLong = false

  constructor (options: EventSplitterOptions = {}) {
    this._maxEventBytes = options.maxEventBytes ?? MAX_EVENT_BYTES
  }

  /** Adds received bytes and returns the events that they complete; none after an event that is too long. */
  add (chunk: Buffer): StreamEvent[] {
    if (this._isTooLong) return []
    const events: StreamEvent[] = []
    let start = 0
    for (let end = this._findEventEnd(chunk, 0); end >= 0; end = this._findEventEnd(chunk, end)) {
      this._keep(chunk.subarray(start, end))
      if (this._isTooLong) return events
      events.push(parseEvent(this.getRemainder()))
      this._chunks = []
      this._length = 0
      start = end
    }
    this._keep(chunk.subarray(start))
    return events
  }

  /** Checks whether an event exceeds the limit; the stream has to be closed then. */
  isTooLong (): boolean {
    return this._isTooLong
  }

  /** Gets the bytes after the last complete event. */
  getRemainder (): Buffer {
    return this._chunks.length === 1 ? this._chunks[0]! : Buffer.concat(this._chunks)
  }

  private _keep (bytes: Buffer): void {
    if (bytes.length === 0) return
    this._length += bytes.length
    this._isTooLong = this._length > this._maxEventBytes
    if (this._isTooLong) this._chunks = []
    else this._chunks.push(bytes)
  }

  /** Gets the index after the end of the next event, or -1 if it is not in the chunk; a part of the end may be in earlier chunks. */
  private _findEventEnd (chunk: Buffer, from: number): number {
    for (let at = from; at < chunk.length;) {
      if (this._match === EndMatch.None) {
        const lineFeed = chunk.indexOf(LINE_FEED, at)
        if (lineFeed < 0) return -1
        this._match = EndMatch.LineFeed
        at = lineFeed + 1
      } else if (chunk[at] === LINE_FEED) {
        this._match = EndMatch.None
        return at + 1
      } else if (chunk[at] === CARRIAGE_RETURN && this._match === EndMatch.LineFeed) {
        this._match = EndMatch.CarriageReturn
        at++
      } else {
        this._match = EndMatch.None
      }
    }
    return -1
  }
}

function parseEvent (bytes: Buffer): StreamEvent {
  let id = ''
  const data: string[] = []
  // Latin-1 maps each byte to one character, which preserves data of any encoding.
  for (const line of bytes.toString('latin1').split(/\r?\n/)) {
    const colon = line.indexOf(':')
    const field = colon < 0 ? line : line.slice(0, colon)
    const value = colon < 0 ? '' : line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)
    if (field === 'id') id = value
    else if (field === 'data') data.push(value)
  }
  return { bytes, id, data: data.length === 0 ? undefined : data.join('\n') }
}
