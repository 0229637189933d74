import type { Socket } from 'node:net'
import { RunningClock, type Clock } from '../../core/clock/index.js'
import { ConnectionPhase, EndCause, ParseTurns, type PhaseLimits } from '../../core/connection/index.js'
import { MIN_STALL_MS, selectStalled, type ByteBudget } from '../../core/limits/index.js'
import { CallerConnection, type ConnectionEnding } from './CallerConnection.js'

/** Milliseconds between two checks for connections that wait too long; a time-out is late by up to two of them. */
const CHECK_INTERVAL_MS = 500

/** Largest number of milliseconds that count between two checks; more passes only while the process is paused or its event loop is busy. */
const MAX_STEP_MS = 2 * CHECK_INTERVAL_MS

/** Share of the budget beyond which connections that hold much and move little are ended. */
const SHORT_SHARE = 0.5

/** Share of the budget beyond which requests that were sent before the last response wait. */
const PIPELINE_SHARE = 0.25

/**
 * Share of the budget that all incomplete heads may hold, so that they do not refuse requests that are complete.
 *
 * On the smallest machine 26 heads of 16,384 bytes may be incomplete at once; one in few packets is so for milliseconds.
 */
const HEADS_SHARE = 0.25

/** Weight of the time of a connection that stopped within a request; one between two requests may be of an ordinary caller. */
const UNFINISHED_WEIGHT = 100

/** Why a connection is not added: all connections, or those of its address, are in use. */
export const FullCause = { All: 'all', Address: 'address' } as const
export type FullCause = typeof FullCause[keyof typeof FullCause]

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  readonly clock: Clock
  readonly limits: PhaseLimits
  /** Called when a connection has been in a phase for too long. */
  readonly onOverdue: (connection: CallerConnection, phase: ConnectionPhase) => void
  /** Called when the gateway ends a connection of its own accord. */
  readonly onEnd: (ending: ConnectionEnding) => void
  /** Called for a connection that holds much and moves little, while memory is short. */
  readonly onStalled: (connection: CallerConnection) => void
  readonly onHeadTooLarge: (connection: CallerConnection) => void
  /** Called for an incomplete head that does not fit into the share of all incomplete heads. */
  readonly onHeadsFull: (connection: CallerConnection) => void
  readonly memory: ByteBudget
  /** Called with the bytes of each read. */
  readonly onRead: (bytes: number) => void
  /** Largest number of connections, and of those of one address. */
  readonly maxConnections: number
  readonly maxConnectionsPerAddress: number
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
  private readonly _heads: ByteBudget
  private readonly _connections = new WeakMap<Socket, CallerConnection>()
  private readonly _open = new Set<CallerConnection>()
  private readonly _addresses = new Map<string, number>()
  private readonly _turns = new ParseTurns(run => { setImmediate(run) })
  private _limits: PhaseLimits
  private _maxHeadBytes = Infinity

  constructor (options: CallerConnectionsOptions) {
    this._options = options
    this._limits = options.limits
    this._heads = options.memory.createPart(HEADS_SHARE)
    this._clock = new RunningClock(options.clock, MAX_STEP_MS)
    setInterval(() => { this._check() }, CHECK_INTERVAL_MS).unref()
  }

  /** Applies changed limits. */
  setLimits (limits: PhaseLimits, maxHeadBytes: number): void {
    this._limits = limits
    this._maxHeadBytes = maxHeadBytes
  }

  /** Adds a connection until it is closed. */
  add (socket: Socket): CallerConnection {
    const address = socket.remoteAddress ?? ''
    const { onEnd, onHeadTooLarge, onHeadsFull, onRead, memory } = this._options
    const connection = new CallerConnection({
      socket,
      clock: this._clock,
      getLimits: () => this._limits,
      getMaxHeadBytes: () => this._maxHeadBytes,
      held: memory.open(address),
      cost: memory.openCost(address),
      headHeld: this._heads.open(),
      onEnd,
      onHeadTooLarge,
      onHeadsFull,
      onRead,
      turns: this._turns,
      isMemoryShort: () => memory.getExcessBytes(PIPELINE_SHARE) > 0
    })
    this._connections.set(socket, connection)
    this._open.add(connection)
    this._addresses.set(address, (this._addresses.get(address) ?? 0) + 1)
    socket.on('close', () => {
      this._open.delete(connection)
      const left = this._addresses.get(address)! - 1
      if (left === 0) this._addresses.delete(address)
      else this._addresses.set(address, left)
    })
    return connection
  }

  /** Checks whether a connection may be added; ends one that waits for its caller if all are in use. */
  getFullCause (address: string): FullCause | undefined {
    const { maxConnections, maxConnectionsPerAddress } = this._options
    if ((this._addresses.get(address) ?? 0) >= maxConnectionsPerAddress) {
      this._makeRoom(connection => connection.socket.remoteAddress === address)
      return FullCause.Address
    }
    if (this._open.size < maxConnections) return undefined
    this._makeRoom(() => true)
    return FullCause.All
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

  /** Gets the number of open connections. */
  getSize (): number {
    return this._open.size
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
    this._endStalled()
  }

  /** Ends connections that hold much and move little, if memory is short. */
  private _endStalled (): void {
    const { memory, onStalled } = this._options
    const excess = memory.getExcessBytes(SHORT_SHARE)
    if (excess === 0) return
    const uses = [...this._open].map(connection => ({
      connection, heldBytes: connection.getHeldBytes(), stalledMs: connection.getStalledMs()
    }))
    for (const { connection } of selectStalled(uses, excess)) onStalled(connection)
  }

  /** Ends the connection that has waited longest for its caller: one without a whole head before one between two requests. */
  private _makeRoom (isCandidate: (connection: CallerConnection) => boolean): void {
    let longest: CallerConnection | undefined
    let longestRank = 0
    for (const connection of this._open) {
      const stalledMs = connection.getStalledMs()
      if (stalledMs < MIN_STALL_MS || connection.isClosing() || !isCandidate(connection)) continue
      const rank = connection.getPhase() === ConnectionPhase.Idle ? stalledMs : stalledMs * UNFINISHED_WEIGHT
      if (rank <= longestRank) continue
      longest = connection
      longestRank = rank
    }
    longest?.end(EndCause.Connections)
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
