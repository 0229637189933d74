/** One server-sent event with the bytes it came in. */
export interface ServerSentEvent {
  readonly data: string
  /** The event as received, its closing blank line included. */
  readonly raw: Buffer
}

const LF = 10
const BLANK_LINE = Buffer.from('\n\n')

/** Splits a byte stream into server-sent events; events may arrive in any number of pieces. */
export class SseParser {
  private _incomplete: Buffer = Buffer.alloc(0)

  /** Takes bytes and returns the events that are complete. */
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
