import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { LinkMode } from './SoakPlan.js'

/** Milliseconds by which a delayed connection passes each chunk on later. */
const DELAY_MS = 300

/** Proxy on loopback between one gateway and the store, which delays, resets, silences or half cuts the connections. */
export class FaultProxy {
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private _mode: LinkMode = 'open'

  /** @param address - Host and port of the store. */
  constructor (address: string) {
    const [host, port] = address.split(':')
    this._server = createServer(client => {
      if (this._mode === 'reset') {
        client.resetAndDestroy()
        return
      }
      const store = connect(Number(port), host)
      this._relay(client, store, () => this._mode === 'silent')
      this._relay(store, client, () => this._mode === 'silent' || this._mode === 'one-way')
    })
  }

  /** Starts the proxy; returns host and port. */
  async start (): Promise<string> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Changes the state of all connections; bytes that were dropped meanwhile are lost, so their connections are reset. */
  setMode (mode: LinkMode): void {
    const hasDropped = this._mode === 'silent' || this._mode === 'one-way'
    this._mode = mode
    if (mode === 'reset' || hasDropped) for (const socket of this._sockets) socket.resetAndDestroy()
  }

  /** Closes all connections. */
  close (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  private _relay (from: Socket, to: Socket, isDropped: () => boolean): void {
    this._sockets.add(from)
    from.on('data', chunk => {
      if (isDropped()) return
      if (this._mode === 'delayed') setTimeout(() => { if (!to.destroyed) to.write(chunk) }, DELAY_MS)
      else to.write(chunk)
    })
    from.on('error', () => {})
    from.on('close', () => {
      this._sockets.delete(from)
      to.destroy()
    })
  }
}
