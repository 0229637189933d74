import type { StreamEvent } from './EventSplitter.js'

/** Collects the transcript of a conversation through one turn: the prompt, then the data of each event followed by a line feed. */
export class Transcript {
  private readonly _chunks: Buffer[]

  /** @param prompt - Body sent to the target: the transcript of the earlier turns and the new input. */
  constructor (prompt: Buffer) {
    this._chunks = [prompt]
  }

  /** Adds the data of an event that was sent to the caller. */
  addEvent (event: StreamEvent): void {
    if (event.data !== undefined) this._chunks.push(Buffer.from(`${event.data}\n`, 'latin1'))
  }

  /** Gets the transcript including this turn; the prompt of the next turn starts with it. */
  toBuffer (): Buffer {
    return Buffer.concat(this._chunks)
  }
}
