/** One server-sent event and its bytes. */
export interface ServerSentEvent {
  readonly data: string
  /** The event including its closing blank line, without carriage returns. */
  readonly raw: Buffer
}

const LF = 10
const BLANK_LINE = Buffer.from('\n\n')

/** Splits a byte stream into server-sent events; an event may arrive in any number of chunks. */
export class SseParser {
  private _incomplete: Buffer = Buffer.alloc(0)

  /** Adds bytes and returns the events that they complete. */
  add (bytes: Buffer): ServerSentEvent[] {
    let buffer = this._incomplete.length === 0 ? bytes : Buffer.concat([this._incomplete, bytes])
    if (buffer.includes(13)) buffer = Buffer.from(buffer.filter(byte => byte !== 13))
    const events: ServerSentEvent[] = []
    let start = 0
    for (let end = buffer.indexOf(BLANK_LINE, start); end >= 0; end = buffer.indexOf(BLANK_LINE, start)) {
      const raw = buffer.subarray(start, end + 2)
      const data = getData(raw)
      if (data !== undefined) events.push({ data, raw })
      start = end + 2
    }
    this._incomplete = buffer.subarray(start)
    return events
  }
}

function getData (raw: Buffer): string | undefined {
  let data: string | undefined
  let start = 0
  for (let end = raw.indexOf(LF, start); end >= 0; end = raw.indexOf(LF, start)) {
    const line = raw.toString('utf8', start, end)
    if (line.startsWith('data:')) data = data === undefined ? line.slice(5).trimStart() : `${data}\n${line.slice(5).trimStart()}`
    start = end + 1
  }
  return data
}
