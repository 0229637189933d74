/**
 * Bytes of bodies in chunks that are parsed between two iterations of the event loop.
 *
 * In chunks of one byte these are some 5,000 calls of the parser, which take about 15 ms.
 */
export const TURN_BYTES = 32_768

/** A connection whose bytes wait to be parsed. */
export interface TurnWaiter {
  /** Parses what may be parsed now; what is left waits again. */
  readonly feed: () => void
}

/**
 * Shares the parsing of bodies in chunks among connections.
 *
 * Answers bodies in chunks of one byte: the parser got all that was read of a connection at once, some 10,000 chunks, and parsed all such
 * connections before any other request made progress. With turns, each connection gets one piece at a time, and the event loop handles
 * everything else between two turns.
 */
export class ParseTurns {
  private readonly _defer: (run: () => void) => void
  private readonly _waiting = new Set<TurnWaiter>()
  private _leftBytes = TURN_BYTES
  private _isScheduled = false

  /** @param defer - Calls a function after the event loop has handled what waits, such as `setImmediate`. */
  constructor (defer: (run: () => void) => void) {
    this._defer = defer
  }

  /** Checks whether a connection may parse a further piece in this turn. */
  isOpen (): boolean {
    return this._leftBytes > 0 && this._waiting.size === 0
  }

  /** Records that a piece was parsed. */
  record (bytes: number): void {
    this._leftBytes -= bytes
    this._schedule()
  }

  /** Lets a connection wait for its turn, behind those that wait already. */
  wait (waiter: TurnWaiter): void {
    this._waiting.add(waiter)
    this._schedule()
  }

  /** Removes a connection that is closed. */
  remove (waiter: TurnWaiter): void {
    this._waiting.delete(waiter)
  }

  private _schedule (): void {
    if (this._isScheduled) return
    this._isScheduled = true
    this._defer(() => { this._take() })
  }

  private _take (): void {
    this._isScheduled = false
    this._leftBytes = TURN_BYTES
    // Each gets one piece, which it records; with more, it waits behind the others.
    while (this._leftBytes > 0 && this._waiting.size > 0) {
      const [waiter] = this._waiting
      this._waiting.delete(waiter!)
      waiter!.feed()
    }
    if (this._waiting.size > 0) this._schedule()
  }
}
