import type { StreamEvent } from './EventSplitter.js'

/** Collects what a turn adds to the transcript of its line: the input, then the data of each event and a line feed. */
export class Transcript {
  private readonly _chunks: Buffer[]

  /** @param prompt - What the target receives: the transcript so far and the new input. */
  constructor (prompt: Buffer) {
    this._chunks = [prompt]
  }

  /** Adds an event that was sent to the caller. */
  addEvent (event: StreamEvent): void {
    if (event.data !== undefined) this._chunks.push(Buffer.from(`${event.data}\n`, 'latin1'))
  }

  /** Gets the transcript with this turn, which the next input follows. */
  toBuffer (): Buffer {
    return Buffer.concat(this._chunks)
  }
}
