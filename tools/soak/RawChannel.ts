import { connect, type Socket } from 'node:net'
import { FIXTURE_HOST } from '../platform/PlatformFixture.js'

/** A request that a {@link RawChannel} sends. */
export interface RawRequest {
  readonly id: string
  readonly path: string
  readonly body: string
  readonly timeoutMs: number
}

/** Formats the bytes of a request with a body. */
export function formatRequest ({ id, path, body, timeoutMs }: RawRequest): string {
  return `POST ${path} HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: ${id}\r\nX-Timeout-Ms: ${timeoutMs}\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** A caller's connection that is written byte by byte. */
export class RawChannel {
  readonly socket: Socket
  private _text = ''
  private readonly _closed: Promise<void>

  /** @param address - Host and port of a gateway. */
  constructor (address: string) {
    const [host, port] = address.split(':')
    this.socket = connect(Number(port), host)
    this.socket.setNoDelay(true)
    this.socket.on('error', () => {})
    this.socket.on('data', data => { this._text += data.toString('latin1') })
    this._closed = new Promise(resolve => { this.socket.on('close', () => { resolve() }) })
  }

  /** Gets the statuses of the responses so far. */
  getStatuses (): number[] {
    return [...this._text.matchAll(/^HTTP\/1\.1 ([0-9]{3}) /gm)].map(match => Number(match[1]))
  }

  /** Waits until the other side closes, or for some milliseconds; then closes. */
  async finish (afterMs: number): Promise<void> {
    const timer = setTimeout(() => { this.socket.destroy() }, afterMs)
    await this._closed
    clearTimeout(timer)
  }
}
