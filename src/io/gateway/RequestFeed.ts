import type { Socket } from 'node:net'
import { RequestPieces, type Expected } from '../../core/connection/index.js'

/** Options of {@link RequestFeed}. */
export interface RequestFeedOptions {
  readonly socket: Socket
  /** Gets what the next bytes belong to; undefined while a request whose body is complete is in progress. */
  readonly getExpected: () => Expected | undefined
  /** Called with the bytes of each read. */
  readonly onRead: (bytes: number) => void
  /** Called with the bytes of each piece after the parser has got it. */
  readonly onParsed: (bytes: number) => void
}

/**
 * Gives the parser of a connection one request at a time.
 *
 * A parser of Node.js creates a request for each head in what was read at once, so that a caller who reads no responses has thousands in
 * progress. While a request is in progress, further bytes stay here and the connection is not read on; a connection without such bytes is
 * always read, so that its end is noticed.
 */
export class RequestFeed {
  private readonly _options: RequestFeedOptions
  private readonly _pieces = new RequestPieces()
  private _parse: (chunk: Buffer) => void = () => {}
  private _isPaused = false
  private _isFeeding = false

  constructor (options: RequestFeedOptions) {
    this._options = options
  }

  /** Gets the bytes that wait for the end of a request. */
  getWaitingBytes (): number {
    return this._pieces.length
  }

  /** Takes the place of the parser, which has begun to listen on the socket. */
  attach (): void {
    const { socket, onRead } = this._options
    const listeners = socket.listeners('data') as Array<(chunk: Buffer) => void>
    this._parse = chunk => { for (const listener of listeners) listener.call(socket, chunk) }
    socket.on('data', (chunk: Buffer) => {
      onRead(chunk.length)
      this._pieces.add(chunk)
      this.feed()
    })
    for (const listener of listeners) socket.off('data', listener)
  }

  /** Parses what may be parsed now. */
  feed (): void {
    const { socket, getExpected, onParsed } = this._options
    // A request that is answered while it is parsed must not parse the next one within the call of the parser.
    if (this._isFeeding) return
    this._isFeeding = true
    while (!socket.destroyed) {
      const expected = getExpected()
      const piece = expected === undefined ? undefined : this._pieces.take(expected)
      if (piece === undefined) break
      this._parse(piece)
      onParsed(piece.length)
    }
    this._isFeeding = false
    if (this._pieces.length > 0) {
      this._isPaused = true
      socket.pause()
    } else if (this._isPaused) {
      this._isPaused = false
      socket.resume()
    }
  }

  /** Drops what waits; nothing more is parsed. */
  close (): void {
    this._pieces.clear()
    this._parse = () => {}
  }
}
