// Consumers: requests on channels of their own or kept ones, written byte by byte where a case needs it.
import { connect } from 'node:net'

/** One channel of a consumer; sends requests one after the other and reads each answer whole. */
export class Channel {
  constructor (port) {
    this._port = port
    this._buffer = Buffer.alloc(0)
    this._wake = () => {}
    this.isClosed = false
    this.error = undefined
  }

  async open () {
    this.socket = connect({ host: '127.0.0.1', port: this._port, noDelay: true })
    this.socket.on('data', chunk => { this._buffer = Buffer.concat([this._buffer, chunk]); this._wake() })
    this.socket.on('error', err => { this.error = err.code; this.isClosed = true; this._wake() })
    this.socket.on('end', () => { this.isClosed = true; this._wake() })
    this.socket.on('close', () => { this.isClosed = true; this._wake() })
    await new Promise((resolve, reject) => { this.socket.once('connect', resolve); this.socket.once('error', reject) })
    return this
  }

  close () { this.socket.destroy() }

  write (bytes) { this.socket.write(bytes) }

  /** Sends a request. */
  send (request) { this.write(toBytes(request)) }

  /** Reads the next answer; `isComplete` is false when the channel ends before it does, and status 0 means that no head came. */
  async read () {
    const result = { status: 0, headers: {}, body: '', isComplete: false }
    let end
    while ((end = this._buffer.indexOf('\r\n\r\n')) < 0) if (!await this._more()) return { ...result, rest: this._buffer.toString('latin1') }
    const [first, ...lines] = this._take(end + 4).toString('latin1').trimEnd().split('\r\n')
    result.status = Number(first.split(' ')[1])
    for (const line of lines) result.headers[line.slice(0, line.indexOf(':')).toLowerCase()] = line.slice(line.indexOf(':') + 1).trim()
    if (result.headers['transfer-encoding'] === 'chunked') {
      for (;;) {
        let at
        while ((at = this._buffer.indexOf('\r\n')) < 0) if (!await this._more()) return result
        const size = parseInt(this._buffer.subarray(0, at).toString(), 16)
        while (this._buffer.length < at + 2 + size + 2) if (!await this._more()) return result
        this._take(at + 2)
        result.body += this._take(size).toString('latin1')
        this._take(2)
        if (size === 0) return { ...result, isComplete: true }
      }
    }
    const length = Number(result.headers['content-length'] ?? 0)
    while (this._buffer.length < length) {
      if (!await this._more()) return { ...result, body: this._buffer.toString('latin1') }
    }
    return { ...result, body: this._take(length).toString('latin1'), isComplete: true }
  }

  _take (count) {
    const taken = this._buffer.subarray(0, count)
    this._buffer = this._buffer.subarray(count)
    return taken
  }

  async _more () {
    const before = this._buffer.length
    while (this._buffer.length === before) {
      if (this.isClosed) return false
      await new Promise(resolve => { this._wake = resolve })
    }
    return true
  }
}

/** Encodes a request. */
export function toBytes ({ method = 'POST', path, headers = {}, body }) {
  const all = { Host: 'desk.example', ...headers, ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }) }
  return `${method} ${path} HTTP/1.1\r\n${Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body ?? ''}`
}

/** Sends a request on a new channel and reads its answer. */
export async function call (port, request) {
  const channel = await new Channel(port).open()
  channel.send(request)
  const response = await channel.read()
  channel.close()
  return response
}
