import { ByteBuffer } from './ByteBuffer.js'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a
const SPACE = 0x20
const ID_FIELD = Buffer.from('id')
const DATA_FIELD = Buffer.from('data')
const LINE_SEPARATOR = Buffer.from('\n')

/** Largest number of bytes of one event by default; an event holds a few tokens. */
export const MAX_EVENT_BYTES = 65_536

/** One complete event of an event stream. */
export interface StreamEvent {
  /** Bytes as received, including the empty line at the end. */
  readonly bytes: Buffer
  /** Id of the event, or an empty string. */
  readonly id: string
  /** Data lines joined by line feeds; undefined when the event has none. */
  readonly data: Buffer | undefined
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
  private readonly _remainder: ByteBuffer
  private _match: EndMatch = EndMatch.None
  private _isTooLong = false

  constructor (options: EventSplitterOptions = {}) {
    this._maxEventBytes = options.maxEventBytes ?? MAX_EVENT_BYTES
    this._remainder = new ByteBuffer({ maxBytes: this._maxEventBytes })
  }

  /**
   * Adds received bytes and yields the events that they complete; none after an event that is too long.
   *
   * @remarks Events are parsed one at a time, since those of a chunk take many times its memory. All of them have to be consumed before
   * the next chunk.
   */
  * add (chunk: Buffer): Generator<StreamEvent, void> {
    if (this._isTooLong) return
    let start = 0
    for (let end = this._findEventEnd(chunk, 0); end >= 0; end = this._findEventEnd(chunk, end)) {
      const bytes = this._take(chunk.subarray(start, end))
      if (bytes === undefined) return
      start = end
      yield parseEvent(bytes)
    }
    this._keep(chunk.subarray(start))
  }

  /** Checks whether an event exceeds the limit; the stream has to be closed then. */
  isTooLong (): boolean {
    return this._isTooLong
  }

  /** Gets the bytes after the last complete event. */
  getRemainder (): Buffer {
    return this._remainder.getView()
  }

  private _keep (bytes: Buffer): void {
    this._isTooLong = this._remainder.length + bytes.length > this._maxEventBytes
    if (this._isTooLong) this._remainder.take()
    else this._remainder.append(bytes)
  }

  /** Gets an event with its last bytes, without a copy if all are in one chunk; undefined if it is too long. */
  private _take (lastBytes: Buffer): Buffer | undefined {
    if (this._remainder.length === 0 && lastBytes.length <= this._maxEventBytes) return lastBytes
    this._keep(lastBytes)
    return this._isTooLong ? undefined : this._remainder.take()
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
  const data: Buffer[] = []
  for (let start = 0; start < bytes.length;) {
    const lineFeed = bytes.indexOf(LINE_FEED, start)
    const next = lineFeed < 0 ? bytes.length : lineFeed + 1
    const end = lineFeed < 0 ? bytes.length : bytes[lineFeed - 1] === CARRIAGE_RETURN ? Math.max(start, lineFeed - 1) : lineFeed
    const idValue = getFieldValue(bytes, start, end, ID_FIELD)
    if (idValue !== undefined) id = idValue.toString('latin1')
    else {
      const dataValue = getFieldValue(bytes, start, end, DATA_FIELD)
      if (dataValue !== undefined) data.push(dataValue)
    }
    start = next
  }
  return { bytes, id, data: data.length <= 1 ? data[0] : joinLines(data) }
}

/** Gets the value of a line if it has the given field name; undefined if not. */
function getFieldValue (bytes: Buffer, start: number, end: number, name: Buffer): Buffer | undefined {
  const nameEnd = start + name.length
  if (nameEnd > end || bytes.compare(name, 0, name.length, start, nameEnd) !== 0) return undefined
  if (nameEnd === end) return bytes.subarray(end, end)
  if (bytes[nameEnd] !== COLON) return undefined
  const valueStart = nameEnd + 1
  return bytes.subarray(valueStart < end && bytes[valueStart] === SPACE ? valueStart + 1 : valueStart, end)
}

function joinLines (lines: readonly Buffer[]): Buffer {
  return Buffer.concat(lines.flatMap((line, index) => index === 0 ? [line] : [LINE_SEPARATOR, line]))
}
