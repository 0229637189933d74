/** What a caller's connection waits for. */
export const ConnectionPhase = {
  /** The first bytes of the next request. */
  Idle: 'idle',
  /** The rest of a request's head, or the first head of a new connection. */
  Head: 'head',
  /** The rest of a request's body. */
  Body: 'body',
  /** The end of a response. */
  Response: 'response'
} as const
export type ConnectionPhase = typeof ConnectionPhase[keyof typeof ConnectionPhase]

/** Why the gateway ends a caller's connection. */
export const EndCause = {
  Idle: 'idle',
  HeaderTimeout: 'header-timeout',
  /** The connection ends after a refusal, because the rest of the request is not read. */
  Refusal: 'refusal',
  /** The connection holds much memory and moves little, while memory is short. */
  Memory: 'memory',
  /** The connection waits for its caller, while all connections are in use. */
  Connections: 'connections',
  Stop: 'stop'
} as const
export type EndCause = typeof EndCause[keyof typeof EndCause]

/** Longest time, in milliseconds, for which a connection may remain in each phase; a response is limited by its route instead. */
export type PhaseLimits = Readonly<Record<Exclude<ConnectionPhase, 'response'>, number>>

/**
 * Decides by its age whether a phase of a caller's connection has lasted too long.
 *
 * A phase that began under one configuration keeps that configuration's limit if the next one has a shorter limit, because its caller
 * relies on what was in force, or announced, when the phase began.
 */
export class ConnectionAge {
  private _phase: ConnectionPhase = ConnectionPhase.Head
  private _startedAt: number
  private _limits: PhaseLimits

  constructor (now: number, limits: PhaseLimits) {
    this._startedAt = now
    this._limits = limits
  }

  /** Gets the present phase. */
  getPhase (): ConnectionPhase {
    return this._phase
  }

  /** Enters a phase, with the limits in force. */
  enter (phase: ConnectionPhase, now: number, limits: PhaseLimits): void {
    this._phase = phase
    this._startedAt = now
    this._limits = limits
  }

  /** Lets a time not count in the present phase, such as one in which the connection did not wait for its caller. */
  skip (ms: number): void {
    this._startedAt += ms
  }

  /** Checks whether the phase has lasted longer than allowed by the limits under which it began and by those in force. */
  isOverdue (now: number, limits: PhaseLimits): boolean {
    if (this._phase === ConnectionPhase.Response) return false
    return now - this._startedAt > Math.max(this._limits[this._phase], limits[this._phase])
  }
}
