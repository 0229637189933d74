import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../../core/clock/index.js'
import { ConnectionAge, ConnectionPhase, type EndCause, type Expected, type ParseTurns, type PhaseLimits } from '../../core/connection/index.js'
import { CONNECTION_COST_BYTES, isProgressing, type HeldBytes } from '../../core/limits/index.js'
import { RequestFeed } from './RequestFeed.js'

/** Milliseconds for which a connection that was ended is still read: several round trips between distant regions. */
const LINGER_MS = 2_000

/** Bytes that are read of a connection that was ended: several times the usual limit of a body, 4 MiB. */
const LINGER_BYTES = 16_777_216

/** Bytes of memory for each byte of an incomplete head: fields of four bytes make two strings and two places in a list. */
const HEAD_COST = 16

/** Options of {@link CallerConnection}. */
export interface CallerConnectionOptions {
  readonly socket: Socket
  /** Clock by which phases are timed. */
  readonly clock: Clock
  /** Gets the limits in force. */
  readonly getLimits: () => PhaseLimits
  /** Called when the gateway ends the connection of its own accord. */
  readonly onEnd: (ending: ConnectionEnding) => void
  /** What the connection itself makes the process hold, beside its requests. */
  readonly held: HeldBytes
  /** What an incomplete head holds of the share of all incomplete heads. */
  readonly headHeld: HeldBytes
  /** What the connection costs while it is open, whatever it holds. */
  readonly cost: HeldBytes
  /** Gets the largest number of bytes of a head. */
  readonly getMaxHeadBytes: () => number
  /** Called when the bytes of an incomplete head are too many. */
  readonly onHeadTooLarge: (connection: CallerConnection) => void
  /** Called when the share of all incomplete heads does not cover the one of this connection. */
  readonly onHeadsFull: (connection: CallerConnection) => void
  /** Turns in which the connections of all callers parse bodies in chunks. */
  readonly turns: ParseTurns
  /** Checks whether so much memory is held that requests which were sent before the last response wait. */
  readonly isMemoryShort: () => boolean
  /** Called with the bytes of each read. */
  readonly onRead: (bytes: number) => void
}

/** State of a connection when the gateway ended it; times are late by up to one check. */
export interface ConnectionEnding {
  readonly cause: EndCause
  /** What the connection waited for. */
  readonly phase: ConnectionPhase
  /** Requests whose head was read. */
  readonly requests: number
  readonly bytesRead: number
  readonly bytesWritten: number
  readonly sinceReadMs: number
  readonly sinceWrittenMs: number
}

/** One connection of a caller: which phase it is in, and how the gateway ends it. */
export class CallerConnection {
  readonly socket: Socket
  private readonly _clock: Clock
  private readonly _getLimits: () => PhaseLimits
  private readonly _onEnd: (ending: ConnectionEnding) => void
  private readonly _age: ConnectionAge
  /** Responses that have not been sent completely, with their requests. */
  private readonly _pending = new Map<ServerResponse, IncomingMessage>()
  /** Limits in force when the phase was last updated. */
  private _limits: PhaseLimits
  /** Idle time-out in force when the latest request arrived, which its response announces. */
  private _announcedIdleMs = 0
  private _bytesRead = 0
  private _bytesWritten = 0
  private _readAt: number
  private _writtenAt: number
  private _requests = 0
  /** Why no further request is accepted, with the phase at that time. */
  private _ending: { readonly cause: EndCause, readonly phase: ConnectionPhase } | undefined
  private _isClosing = false
  /** True while a request that was sent before the last response waits because memory is short. */
  private _isHeldBack = false
  private _isEnded = false
  private readonly _held: HeldBytes
  private readonly _feed: RequestFeed
  private readonly _options: CallerConnectionOptions
  /** What the request in progress holds. */
  private _requestHeld: HeldBytes | undefined
  /** Bytes that were parsed since the last request. */
  private _headBytes = 0
  /** Bytes of the body that follow; undefined for a body in chunks. */
  private _bodyLeft: number | undefined = 0
  /** True from the piece on that follows the head of the latest request. */
  private _isBodyNext = false
  private _progressAt: number
  private _progressCheckedAt: number
  private _movedBytes = 0
  /** Response to bytes that are no request; sent after the pending responses. */
  private _deferredRefusal: string | undefined

  constructor (options: CallerConnectionOptions) {
    this.socket = options.socket
    this._options = options
    this._held = options.held
    options.cost.hold(CONNECTION_COST_BYTES)
    this._clock = options.clock
    this._getLimits = options.getLimits
    this._onEnd = options.onEnd
    this._readAt = this._writtenAt = this._progressAt = this._progressCheckedAt = this._clock.now()
    this._limits = options.getLimits()
    this._age = new ConnectionAge(this._clock.now(), this._limits)
    // The parser calls this after the last response of a connection; closing at once would reset it while bytes are unread.
    this.socket.destroySoon = () => { this.end() }
    this._feed = new RequestFeed({
      socket: this.socket,
      getExpected: () => this._getExpected(),
      turns: options.turns,
      onRead: options.onRead,
      onParsed: bytes => { this._onParsed(bytes) }
    })
    this.socket.on('close', () => {
      this._feed.close()
      this._held.release()
      options.cost.release()
      options.headHeld.release()
    })
  }

  /** Reads requests in place of the parser, which has begun to listen on the socket. */
  startFeed (): void {
    this._feed.attach()
  }

  /** Gets the bytes that the connection and its request hold. */
  getHeldBytes (): number {
    return this._held.getBytes() + (this._requestHeld?.getBytes() ?? 0)
  }

  /** Gets the milliseconds since the connection made progress; 0 while it waits for the gateway or a target, and not for its caller. */
  getStalledMs (): number {
    return this._isWaitingForCaller() ? this._clock.now() - this._progressAt : 0
  }

  /** Gets what the connection waits for. */
  getPhase (): ConnectionPhase {
    return this._age.getPhase()
  }

  /** Records what the request in progress holds. */
  setRequestHeld (held: HeldBytes): void {
    this._requestHeld = held
  }

  /** Checks whether the gateway has begun to end the connection, so that no further request on it may be forwarded. */
  isClosing (): boolean {
    return this._isClosing
  }

  /** Records that no request after those received so far is accepted. */
  markClosing (cause: EndCause): void {
    this._isClosing = true
    this._feed.close()
    this._ending ??= { cause, phase: this._age.getPhase() }
  }

  /** Checks whether a response belongs to the latest request received. */
  isLatest (res: ServerResponse): boolean {
    return this._feed.getWaitingBytes() === 0 && [...this._pending.keys()].at(-1) === res
  }

  /** Gets the request whose body is being received. */
  getReceiving (): { req: IncomingMessage, res: ServerResponse } | undefined {
    for (const [res, req] of this._pending) if (!req.complete) return { req, res }
    return undefined
  }

  /** Records a request; it is pending until its response was sent or has been abandoned. */
  addRequest (req: IncomingMessage, res: ServerResponse): void {
    this._pending.set(res, req)
    this._announcedIdleMs = this._getLimits().idle
    this._requests++
    this._headBytes = 0
    this._isBodyNext = false
    const length = req.headers['transfer-encoding'] === undefined ? req.headers['content-length'] : undefined
    this._bodyLeft = length === undefined ? undefined : Number(length)
    this._readAt = this._progressAt = this._clock.now()
    this._enter(req.complete ? ConnectionPhase.Response : ConnectionPhase.Body, this._getLimits())
    res.on('close', () => { this._removeRequest(res) })
  }

  /** Updates the phase by what was read since the last call. */
  update (): void {
    const { bytesWritten } = this.socket
    const bytesRead = this._getParsedBytes()
    const hasRead = bytesRead !== this._bytesRead
    this._bytesRead = bytesRead
    if (hasRead) this._readAt = this._clock.now()
    if (bytesWritten !== this._bytesWritten) this._writtenAt = this._clock.now()
    this._bytesWritten = bytesWritten
    const phase = this._age.getPhase()
    if (phase === ConnectionPhase.Body && this.getReceiving() === undefined) this._enter(ConnectionPhase.Response, this._limits)
    // The head began at some time since the last update, so perhaps under the limits of that time.
    else if (phase === ConnectionPhase.Idle && hasRead) this._enter(ConnectionPhase.Head, this._limits)
    this._limits = this._getLimits()
    this._updateProgress()
    this._updateHeld()
    if (this._isHeldBack && !this._isClosing) this._continue()
  }

  /** Gets the phase if it has lasted too long, otherwise undefined. */
  getOverduePhase (): ConnectionPhase | undefined {
    if (this._isClosing || !this._age.isOverdue(this._clock.now(), this._getLimits())) return undefined
    return this._age.getPhase()
  }

  /** Checks whether the connection is read, and waits for the first byte of a further request. */
  isIdle (): boolean {
    return !this._isClosing && this._age.getPhase() === ConnectionPhase.Idle
  }

  /** Checks whether anything was received. */
  hasReceivedBytes (): boolean {
    return this._bytesRead > 0
  }

  /** Refuses bytes that are no request, after the pending responses; nothing that follows them is read as a request. */
  refuseBytes (response: string, cause: EndCause): void {
    if (this._isClosing) return
    this.markClosing(cause)
    if (this._pending.size === 0) this._endWith(response)
    else this._deferredRefusal = response
  }

  /** Refuses bytes that are no complete request and closes the connection without reading on, so that their memory is released at once. */
  refuseAndClose (response: string, cause: EndCause): void {
    if (this._isEnded) return
    this._isEnded = true
    this.markClosing(cause)
    this._report()
    this.socket.end(response, () => { this.socket.destroy() })
    this._destroyLater()
  }

  /**
   * Ends the connection after what was written; nothing that is still received is read as a request.
   *
   * It is read for a while longer, because unread bytes would reset it before the caller has received the last response.
   */
  end (cause?: EndCause): void {
    if (this._isEnded) return
    this._isEnded = true
    this._isClosing = true
    if (cause !== undefined) this.markClosing(cause)
    this._feed.close()
    this._report()
    this._discardInput()
    this.socket.end()
    this._destroyLater()
  }

  /** Ends the connection at once, without what was written and has not left the process. */
  endNow (cause: EndCause): void {
    if (this._isEnded) return
    this._isEnded = true
    this.markClosing(cause)
    this._report()
    this.socket.resetAndDestroy()
  }

  private _destroyLater (): void {
    const timer = setTimeout(() => { this.socket.destroy() }, LINGER_MS)
    this.socket.on('close', () => { clearTimeout(timer) })
  }

  private _report (): void {
    if (this._ending === undefined) return
    this.update()
    const now = this._clock.now()
    this._onEnd({
      ...this._ending,
      requests: this._requests,
      bytesRead: this._bytesRead,
      bytesWritten: this._bytesWritten,
      sinceReadMs: Math.round(now - this._readAt),
      sinceWrittenMs: Math.round(now - this._writtenAt)
    })
  }

  private _endWith (response: string): void {
    this.socket.write(response)
    this.end()
  }

  private _removeRequest (res: ServerResponse): void {
    this._pending.delete(res)
    if (this._pending.size > 0) return
    this._requestHeld = undefined
    this._progressAt = this._clock.now()
    this._bytesRead = this._getParsedBytes()
    const limits = this._getLimits()
    this._enter(ConnectionPhase.Idle, { ...limits, idle: Math.max(limits.idle, this._announcedIdleMs) })
    if (this._deferredRefusal !== undefined && this.socket.writable) this._endWith(this._deferredRefusal)
    else if (!this._isEnded) this._continue()
  }

  /** Reads the next request; one that was sent before the last response waits while memory is short. */
  private _continue (): void {
    this._isHeldBack = this._feed.getWaitingBytes() > 0 && this._options.isMemoryShort()
    if (!this._isHeldBack) this._feed.feed()
  }

  /** Gets what the next bytes belong to; undefined while a request whose body is complete is in progress. */
  private _getExpected (): Expected | undefined {
    if (this._isHeldBack && !this._isClosing) return undefined
    if (this._pending.size === 0 || this._isClosing) return 'head'
    if (this.getReceiving() === undefined) return undefined
    // The parser has seen the whole body, but has not yet been told that nothing follows.
    if (this._bodyLeft === 0) return undefined
    return this._bodyLeft ?? 'chunks'
  }

  private _onParsed (bytes: number): void {
    if (this._pending.size > 0) {
      if (this._isBodyNext && this._bodyLeft !== undefined) this._bodyLeft = Math.max(0, this._bodyLeft - bytes)
      // The piece that ended with the head was no part of the body.
      this._isBodyNext = true
    } else {
      this._headBytes += bytes
      if (this._headBytes > this._options.getMaxHeadBytes() && !this._isClosing) this._options.onHeadTooLarge(this)
    }
    this._updateHeld()
    if (!this._tryHoldHead() && !this._isClosing) this._options.onHeadsFull(this)
  }

  private _getParsedBytes (): number {
    return this.socket.bytesRead - this._feed.getWaitingBytes()
  }

  private _isWaitingForCaller (): boolean {
    return this._pending.size === 0 || this.getReceiving() !== undefined || this.socket.writableLength > 0
  }

  /** Counts what was read and what has left the process since the last check. */
  private _updateProgress (): void {
    const now = this._clock.now()
    // What was read and waits to be parsed is no progress yet.
    const moved = this._getParsedBytes() + this.socket.bytesWritten - this.socket.writableLength
    const isProgress = isProgressing(moved - this._movedBytes, this.getHeldBytes(), now - this._progressCheckedAt)
    // The caller may have sent the whole body that waits to be parsed.
    if (this._feed.isWaitingForTurn()) this._age.skip(now - this._progressCheckedAt)
    if (!this._isWaitingForCaller() || this._feed.isWaitingForTurn() || isProgress) this._progressAt = now
    this._movedBytes = moved
    this._progressCheckedAt = now
  }

  /** Holds an incomplete head in the share of all; one that was complete in a single read holds nothing there. */
  private _tryHoldHead (): boolean {
    const { headHeld } = this._options
    const bytes = this._getHeadCost() - headHeld.getBytes()
    if (bytes > 0) return headHeld.tryHold(bytes)
    headHeld.free(-bytes)
    return true
  }

  private _getHeadCost (): number {
    return this._pending.size === 0 ? this._headBytes * HEAD_COST : 0
  }

  private _updateHeld (): void {
    if (this.socket.destroyed) return
    const headBytes = this._getHeadCost()
    this._held.set(headBytes + this._feed.getWaitingBytes() + this.socket.writableLength)
  }

  /** Discards a bounded number of bytes from now on, in place of the parser. */
  private _discardInput (): void {
    let size = 0
    const discard = (data: Buffer): void => {
      size += data.length
      this._options.onRead(data.length)
      if (size > LINGER_BYTES) this.socket.destroy()
    }
    this.socket.on('data', discard)
    for (const listener of this.socket.listeners('data')) {
      if (listener !== discard) this.socket.off('data', listener as (data: Buffer) => void)
    }
    this.socket.resume()
  }

  private _enter (phase: ConnectionPhase, limits: PhaseLimits): void {
    this._age.enter(phase, this._clock.now(), limits)
  }
}
