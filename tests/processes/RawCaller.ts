import { connect, type Socket } from 'node:net'
import { FIXTURE_HOST } from '../../tools/platform/PlatformFixture.js'
import { waitFor } from './GatewayHarness.js'

/** One request of a raw caller. */
export interface RawCall {
  readonly id: string
  readonly path: string
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
}

/** Gets the bytes of a request. */
export function toBytes ({ id, path, body = '', headers = {} }: RawCall): string {
  const lines = Object.entries({ Host: FIXTURE_HOST, 'X-Request-Id': id, 'Content-Length': String(body.length), ...headers })
  return [`POST ${path} HTTP/1.1`, ...lines.map(([name, value]) => `${name}: ${value}`), '', body].join('\r\n')
}

/** Caller that writes the bytes of its connection itself. */
export class RawCaller {
  /** All bytes received. */
  received = ''
  isClosed = false
  /** Code of the error that ended the connection; undefined if it was closed in order. */
  errorCode: string | undefined
  private readonly _socket: Socket

  private constructor (socket: Socket) {
    this._socket = socket
    socket.on('data', data => { this.received += data.toString() })
    socket.on('end', () => { this.isClosed = true })
    socket.on('close', () => { this.isClosed = true })
    socket.on('error', (err: NodeJS.ErrnoException) => { this.errorCode = err.code })
  }

  /** Connects to a gateway. */
  static async connect (address: string): Promise<RawCaller> {
    const [host, port] = address.split(':')
    return await new Promise((resolve, reject) => {
      const socket = connect({ host: host!, port: Number(port), allowHalfOpen: true }, () => { resolve(new RawCaller(socket)) })
      socket.once('error', reject)
    })
  }

  /** Writes bytes. */
  write (bytes: string | Buffer): void {
    this._socket.write(bytes)
  }

  /** Gets the statuses of the responses received. */
  getStatuses (): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => Number(match[1]))
  }

  /** Waits for a number of responses, or for the end of the connection; returns the statuses. */
  async waitForResponses (count: number): Promise<number[]> {
    await waitFor(() => this.getStatuses().length >= count || this.isClosed)
    return this.getStatuses()
  }

  /** Closes the connection. */
  close (): void {
    this._socket.destroy()
  }
}
