import type { Socket } from 'node:net'
import { Agent, buildConnector, Client, Pool, type Dispatcher } from 'undici'

/** Code of a reset; undici takes ECONNRESET for the regular end of a response without a length. */
const RESET_CODE = 'TARGET_CONNECTION_RESET'

/** Reads the response of the request that is on a connection. */
export interface ConnectionReader {
  /** Called before the request is queued for a connection. */
  readonly setConnection: (connection: TargetConnection) => void
  /** Called when all bytes of the connection were read; an incomplete response is broken off if it was reset. */
  readonly onConnectionEnd: (wasReset: boolean) => void
}

/** Options of a request with the reader of its response. */
export interface TargetDispatchOptions extends Dispatcher.DispatchOptions {
  readonly reader: ConnectionReader
}

/**
 * One connection to a target, which decides how a response without a length ended.
 *
 * Such a response is complete when the target closes the connection, and is broken off when the connection is reset or fails.
 */
export class TargetConnection extends Client {
  private _reader: ConnectionReader | undefined
  private _socket: Socket | undefined

  constructor (origin: string | URL, options: Client.Options) {
    const connect = options.connect as buildConnector.connector
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...result) => {
          // Before undici adds its own listeners.
          if (result[0] === null) this._watch(result[1])
          callback(...result)
        })
      }
    })
  }

  override dispatch (options: TargetDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    options.reader.setConnection(this)
    return super.dispatch(options, handler)
  }

  /** Gets what identifies the TCP connection in use; another one follows when it has ended. */
  getSocket (): object | undefined {
    return this._socket
  }

  /** Sets the reader whose request is sent on the connection now. */
  setReader (reader: ConnectionReader): void {
    this._reader = reader
  }

  private _watch (socket: Socket): void {
    this._socket = socket
    socket.on('error', (err: NodeJS.ErrnoException) => { if (err.code === 'ECONNRESET') err.code = RESET_CODE })
    // Node.js reports the reset of a connection that is not being read as its end; only a connection that was reset has no peer then.
    socket.on('end', () => { this._reader?.onConnectionEnd(socket.remoteAddress === undefined) })
  }
}

/** Creates an agent whose connections are {@link TargetConnection}s. */
export function createTargetAgent ({ connectTimeoutMs, ...rest }: Agent.Options & { connectTimeoutMs: number }): Agent {
  const connect = buildConnector({ timeout: connectTimeoutMs })
  const createConnection = (origin: string | URL, options: object): Dispatcher => new TargetConnection(origin, options as Client.Options)
  return new Agent({
    ...rest,
    connect,
    factory: (origin, agentOptions) => new Pool(origin, { ...agentOptions, factory: createConnection } as Pool.Options)
  })
}
