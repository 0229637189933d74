import { ByteBuffer } from './ByteBuffer.js'
import type { StreamEvent } from './EventSplitter.js'

const LINE_FEED = Buffer.from('\n')

/** Largest number of bytes that a turn may add to its transcript: 100,000 tokens of text; they are in memory until the stream ends. */
export const MAX_TURN_BYTES = 524_288

/** Collects the transcript of a conversation through one turn: the prompt, then the data of each event followed by a line feed. */
export class Transcript {
  private readonly _prompt: Buffer
  private readonly _output = new ByteBuffer({ maxBytes: MAX_TURN_BYTES })

  /** @param prompt - Body sent to the target: the transcript of the earlier turns and the new input. */
  constructor (prompt: Buffer) {
    this._prompt = prompt
  }

  /** Adds the data of an event that is sent to the caller; returns whether the turn is within its limit, and adds nothing beyond it. */
  addEvent (event: StreamEvent): boolean {
    if (event.data === undefined) return true
    if (this._output.length + event.data.length + LINE_FEED.length > MAX_TURN_BYTES) return false
    this._output.append(event.data)
    this._output.append(LINE_FEED)
    return true
  }

  /** Gets the transcript including this turn in pieces, without a copy; they are valid until an event is added. */
  getPieces (): Buffer[] {
    return [this._prompt, this._output.getView()]
  }

  /** Gets the transcript including this turn; the prompt of the next turn starts with it. */
  toBuffer (): Buffer {
    return Buffer.concat(this.getPieces())
  }
}
