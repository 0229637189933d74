import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { GatewayHarness, waitFor } from './GatewayHarness.js'

/** A request as received on a connection. */
export interface RawRequest {
  readonly id: string
  /** Number of the request on its connection, from 0. */
  readonly index: number
}

/** Server whose answers are written by the test, byte by byte, so that they may break the protocol. Requests arrive in one piece. */
export class RawTarget {
  address = ''
  openConnections = 0
  private _server: Server | undefined
  private readonly _sockets = new Set<Socket>()

  /** Starts to listen. */
  async start (onRequest: (socket: Socket, request: RawRequest) => void): Promise<void> {
    this._server = createServer(socket => { this._accept(socket, onRequest) })
    await new Promise<void>(resolve => this._server!.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Stops the server and closes its connections. */
  close (): void {
    for (const socket of this._sockets) socket.destroy()
    this._server?.close()
  }

  private _accept (socket: Socket, onRequest: (socket: Socket, request: RawRequest) => void): void {
    this.openConnections++
    this._sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => {
      this.openConnections--
      this._sockets.delete(socket)
    })
    let index = 0
    socket.on('data', data => {
      const id = /x-request-id: (\S+)/i.exec(data.toString())?.[1]
      if (id !== undefined) onRequest(socket, { id, index: index++ })
    })
  }
}

/** Runs a gateway with a target whose answers the test writes. */
export class RawTargetHarness extends GatewayHarness {
  readonly target = new RawTarget()

  /** Starts the target and registers all plain services at its address. */
  async startDesks (onRequest: (socket: Socket, request: RawRequest) => void): Promise<void> {
    await this.target.start(onRequest)
    this.fixture.replaceDesks(this.target.address)
    await this._waitUntilKnown(this.fixture.desks.length)
  }

  /** Starts the target and registers all model engines at its address. */
  async startEngines (onRequest: (socket: Socket, request: RawRequest) => void): Promise<void> {
    await this.target.start(onRequest)
    this.fixture.replaceEngines(this.target.address)
    await this._waitUntilKnown(this.fixture.engines.length)
  }

  /** Starts the target and registers all plain services and model engines at its address. */
  async startAll (onRequest: (socket: Socket, request: RawRequest) => void): Promise<void> {
    await this.startDesks(onRequest)
    this.fixture.replaceEngines(this.target.address)
    await this._waitUntilKnown(this.fixture.desks.length + this.fixture.engines.length)
  }

  override async stop (): Promise<void> {
    this.target.close()
    await super.stop()
  }

  private async _waitUntilKnown (targets: number): Promise<void> {
    const countKnown = (): number => {
      const changes = this.gateway.getEvents('target-changed').filter(event => event.address === this.target.address)
      return new Set(changes.map(event => event.id)).size
    }
    await waitFor(() => countKnown() >= targets)
  }
}
