import type { Socket } from 'node:net'
import { RunningClock, type Clock } from '../../core/clock/index.js'
import { EndCause, type ConnectionPhase, type PhaseLimits } from '../../core/connection/index.js'
import { CallerConnection, type ConnectionEnding } from './CallerConnection.js'

/** Milliseconds between two checks for connections that wait too long; a time-out is late by up to two of them. */
const CHECK_INTERVAL_MS = 500

/** Largest number of milliseconds that count between two checks; more passes only while the process is paused or its event loop is busy. */
const MAX_STEP_MS = 2 * CHECK_INTERVAL_MS

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  readonly clock: Clock
  readonly limits: PhaseLimits
  /** Called when a connection has been in a phase for too long. */
  readonly onOverdue: (connection: CallerConnection, phase: ConnectionPhase) => void
  /** Called when the gateway ends a connection of its own accord. */
  readonly onEnd: (ending: ConnectionEnding) => void
}

/**
 * The open connections of callers, with their time-outs.
 *
 * Replaces the time-outs of Node's HTTP server, which fire before bytes that already wait are read when the process was paused. Here the
 * event loop gets a turn to read them before a connection counts as overdue.
 */
export class CallerConnections {
  private readonly _options: CallerConnectionsOptions
  private readonly _clock: RunningClock
  private readonly _connections = new WeakMap<Socket, CallerConnection>()
  private readonly _open = new Set<CallerConnection>()
  private _limits: PhaseLimits

  constructor (options: CallerConnectionsOptions) {
    this._options = options
    this._limits = options.limits
    this._clock = new RunningClock(options.clock, MAX_STEP_MS)
    setInterval(() => { this._check() }, CHECK_INTERVAL_MS).unref()
  }

  /** Applies changed limits. */
  setLimits (limits: PhaseLimits): void {
    this._limits = limits
  }

  /** Adds a connection until it is closed. */
  add (socket: Socket): void {
    const connection = new CallerConnection({ socket, clock: this._clock, getLimits: () => this._limits, onEnd: this._options.onEnd })
    this._connections.set(socket, connection)
    this._open.add(connection)
    socket.on('close', () => { this._open.delete(connection) })
  }

  /** Gets the connection of a socket that was added. */
  get (socket: Socket): CallerConnection {
    return this._connections.get(socket)!
  }

  /** Ends the idle connections on which no byte waits to be read, because the gateway is stopping. */
  closeIdle (): void {
    this._confirm([...this._open].filter(connection => connection.isIdle()), connection => {
      if (connection.isIdle()) connection.end(EndCause.Stop)
    })
  }

  /** Checks whether any connection is open. */
  hasOpen (): boolean {
    return this._open.size > 0
  }

  private _check (): void {
    this._clock.tick()
    const overdue = [...this._open].filter(connection => {
      connection.update()
      return connection.getOverduePhase() !== undefined
    })
    this._confirm(overdue, connection => {
      const phase = connection.getOverduePhase()
      if (phase !== undefined) this._options.onOverdue(connection, phase)
    })
  }

  /** Decides about connections after the event loop has read what waits on them. */
  private _confirm (connections: readonly CallerConnection[], decide: (connection: CallerConnection) => void): void {
    if (connections.length === 0) return
    setImmediate(() => {
      for (const connection of connections) {
        connection.update()
        decide(connection)
      }
    })
  }
}
