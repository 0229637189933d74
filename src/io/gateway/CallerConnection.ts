import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../../core/clock/index.js'
import { ConnectionAge, ConnectionPhase, type EndCause, type PhaseLimits } from '../../core/connection/index.js'

/** Milliseconds for which a connection that was ended is still read: several round trips between distant regions. */
const LINGER_MS = 2_000

/** Bytes that are read of a connection that was ended: several times the usual limit of a body, 4 MiB. */
const LINGER_BYTES = 16_777_216

/** Options of {@link CallerConnection}. */
export interface CallerConnectionOptions {
  readonly socket: Socket
  /** Clock by which phases are timed. */
  readonly clock: Clock
  /** Gets the limits in force. */
  readonly getLimits: () => PhaseLimits
  /** Called when the gateway ends the connection of its own accord. */
  readonly onEnd: (ending: ConnectionEnding) => void
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
  private _isEnded = false
  /** Response to bytes that are no request; sent after the pending responses. */
  private _deferredRefusal: string | undefined

  constructor (options: CallerConnectionOptions) {
    this.socket = options.socket
    this._clock = options.clock
    this._getLimits = options.getLimits
    this._onEnd = options.onEnd
    this._readAt = this._writtenAt = this._clock.now()
    this._limits = options.getLimits()
    this._age = new ConnectionAge(this._clock.now(), this._limits)
    // The parser calls this after the last response of a connection; closing at once would reset it while bytes are unread.
    this.socket.destroySoon = () => { this.end() }
  }

  /** Checks whether the gateway has begun to end the connection, so that no further request on it may be forwarded. */
  isClosing (): boolean {
    return this._isClosing
  }

  /** Records that no request after those received so far is accepted. */
  markClosing (cause: EndCause): void {
    this._isClosing = true
    this._ending ??= { cause, phase: this._age.getPhase() }
  }

  /** Checks whether a response belongs to the latest request received. */
  isLatest (res: ServerResponse): boolean {
    return [...this._pending.keys()].at(-1) === res
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
    this._readAt = this._clock.now()
    this._enter(req.complete ? ConnectionPhase.Response : ConnectionPhase.Body, this._getLimits())
    res.on('close', () => { this._removeRequest(res) })
  }

  /** Updates the phase by what was read since the last call. */
  update (): void {
    const { bytesRead, bytesWritten } = this.socket
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
    this._report()
    this._discardInput()
    this.socket.end()
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
    this._bytesRead = this.socket.bytesRead
    const limits = this._getLimits()
    this._enter(ConnectionPhase.Idle, { ...limits, idle: Math.max(limits.idle, this._announcedIdleMs) })
    if (this._deferredRefusal !== undefined && this.socket.writable) this._endWith(this._deferredRefusal)
  }

  /** Discards a bounded number of bytes from now on, in place of the parser. */
  private _discardInput (): void {
    let size = 0
    const discard = (data: Buffer): void => {
      size += data.length
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
