import { connect, createServer, type AddressInfo, type Server } from 'node:net'

/** TCP relay on loopback that counts the bytes of both directions. */
export class CountingRelay {
  bytes = 0
  private readonly _server: Server

  private constructor (target: URL) {
    this._server = createServer(caller => {
      const server = connect(Number(target.port), target.hostname)
      caller.on('data', data => { this.bytes += data.length })
      server.on('data', data => { this.bytes += data.length })
      caller.pipe(server).on('error', () => { caller.destroy() })
      server.pipe(caller).on('error', () => { server.destroy() })
    })
  }

  /** Starts a relay to a server on loopback. */
  static async start (target: string): Promise<CountingRelay> {
    const relay = new CountingRelay(new URL(target))
    await new Promise<void>(resolve => relay._server.listen(0, '127.0.0.1', resolve))
    return relay
  }

  get url (): string {
    return `http://127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Stops accepting connections; open connections stay. */
  stop (): void {
    this._server.close()
  }
}
