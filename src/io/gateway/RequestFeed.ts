import type { Socket } from 'node:net'
import { RequestPieces, type Expected, type ParseTurns } from '../../core/connection/index.js'

/** Options of {@link RequestFeed}. */
export interface RequestFeedOptions {
  readonly socket: Socket
  /** Gets what the next bytes belong to; undefined while a request whose body is complete is in progress. */
  readonly getExpected: () => Expected | undefined
  /** Turns in which the connections of all callers parse bodies in chunks. */
  readonly turns: ParseTurns
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
  private _isWaitingForTurn = false
  private readonly _waiter = { feed: () => { this._takeTurn() } }

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
    this._deferResume()
    const listeners = socket.listeners('data') as Array<(chunk: Buffer) => void>
    this._parse = chunk => { for (const listener of listeners) listener.call(socket, chunk) }
    socket.on('data', (chunk: Buffer) => {
      onRead(chunk.length)
      this._pieces.add(chunk)
      this.feed()
    })
    for (const listener of listeners) socket.off('data', listener)
  }

  /** Checks whether bytes wait until other connections have parsed theirs. */
  isWaitingForTurn (): boolean {
    return this._isWaitingForTurn
  }

  /** Parses what may be parsed now; of a body in chunks, what the turns of all connections leave. */
  feed (): void {
    // A request that is answered while it is parsed must not parse the next one within the call of the parser.
    if (this._isFeeding || this._isWaitingForTurn) return
    this._isFeeding = true
    this._parsePieces(() => this._options.turns.isOpen())
    this._isFeeding = false
    this._pauseOrResume()
  }

  private _parsePieces (mayParseChunks: () => boolean): void {
    const { socket, getExpected, onParsed, turns } = this._options
    while (!socket.destroyed && this._pieces.length > 0) {
      const expected = getExpected()
      if (expected === undefined) return
      if (expected === 'chunks' && !mayParseChunks()) {
        this._isWaitingForTurn = true
        turns.wait(this._waiter)
        return
      }
      const piece = this._pieces.take(expected)
      if (piece === undefined) return
      this._parse(piece)
      if (expected === 'chunks') turns.record(piece.length)
      onParsed(piece.length)
    }
  }

  /** Parses one piece of a body in chunks, as its turn has come; the rest waits again. */
  private _takeTurn (): void {
    let isFirst = true
    this._isWaitingForTurn = false
    this._isFeeding = true
    this._parsePieces(() => {
      const mayParse = isFirst
      isFirst = false
      return mayParse
    })
    this._isFeeding = false
    this._pauseOrResume()
  }

  /**
   * Resumes the socket only once nothing waits.
   *
   * The body of a request resumes its socket after each piece that is read of it, so that all that the caller sends would gather here.
   */
  private _deferResume (): void {
    const { socket } = this._options
    const resume = socket.resume.bind(socket)
    socket.resume = () => {
      if (this._pieces.length === 0) return resume()
      this._isPaused = true
      return socket
    }
  }

  private _pauseOrResume (): void {
    const { socket } = this._options
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
    this._options.turns.remove(this._waiter)
    this._isWaitingForTurn = false
    this._pieces.clear()
    this._parse = () => {}
  }
}
