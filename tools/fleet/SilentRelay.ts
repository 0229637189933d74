import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** TCP relay that can stop forwarding on its open connections permanently, while new connections work. */
export class SilentRelay {
  private readonly _server: Server
  private readonly _target: URL
  private _openSockets: Socket[] = []

  private constructor (target: string) {
    this._target = new URL(target)
    this._server = createServer(socket => { this._relay(socket) })
  }

  /** Starts a relay to a server on loopback. */
  static async start (target: string): Promise<SilentRelay> {
    const relay = new SilentRelay(target)
    await new Promise<void>(resolve => relay._server.listen(0, '127.0.0.1', resolve))
    return relay
  }

  get url (): string {
    return `http://127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Stops forwarding on all open connections without closing them. */
  silence (): void {
    for (const socket of this._openSockets) {
      socket.unpipe()
      socket.pause()
    }
    this._openSockets = []
  }

  /** Stops the relay and closes its connections. */
  stop (): void {
    this._server.close()
    for (const socket of this._openSockets) socket.destroy()
  }

  private _relay (caller: Socket): void {
    const target = connect(Number(this._target.port), this._target.hostname)
    this._openSockets.push(caller, target)
    caller.pipe(target).on('error', () => { caller.destroy() })
    target.pipe(caller).on('error', () => { target.destroy() })
  }
}
