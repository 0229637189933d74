const LINE_FEED = 0x0a

/** One complete event of an event stream. */
export interface StreamEvent {
  /** Bytes as received, including the empty line at the end. */
  readonly bytes: Buffer
  /** Id of the event, or an empty string. */
  readonly id: string
  /** Data lines joined by line feeds; undefined when the event has none. */
  readonly data: string | undefined
}

/** Splits the bytes of an event stream into complete events. */
export class EventSplitter {
  private _remainder: Buffer = Buffer.alloc(0)

  /** Adds received bytes and returns the events that they complete. */
  add (chunk: Buffer): StreamEvent[] {
    let bytes = this._remainder.length === 0 ? chunk : Buffer.concat([this._remainder, chunk])
    const events: StreamEvent[] = []
    for (let end = findEventEnd(bytes); end > 0; end = findEventEnd(bytes)) {
      events.push(parseEvent(bytes.subarray(0, end)))
      bytes = bytes.subarray(end)
    }
    this._remainder = bytes
    return events
  }

  /** Gets the bytes after the last complete event. */
  getRemainder (): Buffer {
    return this._remainder
  }
}

/** Gets the length of the first event, or 0 if it is incomplete. */
function findEventEnd (bytes: Buffer): number {
  for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return 0
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
