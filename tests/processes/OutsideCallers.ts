import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { FIXTURE_HOST } from '../../tools/platform/PlatformFixture.js'
import { getDescriptors, getResidentBytes } from './ProcessUsage.js'

/** Largest body that the configuration allows. */
export const BODY_BYTES = 4_194_304

/** Largest head that the configuration allows. */
export const HEAD_BYTES = 16_384

/** Milliseconds for which a load lasts after its connections were opened. */
const LOAD_MS = 2_500

/** Milliseconds between two looks at a process. */
const POLL_INTERVAL_MS = 20

/** Milliseconds between two connections, so that the queue of connections to be accepted does not overflow. */
const CONNECT_GAP_MS = 2

/** Milliseconds between two pieces of a connection that sends slowly, and between two reads of one that reads slowly. */
const SLOW_GAP_MS = 50

/** One kind of load: what each connection sends, and whether it reads. */
export interface OutsideLoad {
  readonly name: string
  readonly reads?: boolean
  /** True if it sends a piece, and reads what has arrived, only now and then. */
  readonly isSlow?: boolean
  /** Number of connections for each one that other loads open. */
  readonly factor?: number
  /** Gets the bytes that connection number `at` sends to a path; each piece is written by itself. */
  readonly getPieces: (path: string, at: number) => Iterable<Buffer>
}

/** Options of {@link runLoad}. */
export interface LoadOptions {
  readonly pid: number
  readonly address: string
  readonly path: string
  readonly connections: number
}

/** What a process used at its worst while a load lasted. */
export interface LoadUse {
  readonly residentBytes: number
  readonly descriptors: number
}

/** Connections of callers that keep to no limit. */
export const OUTSIDE_LOADS: readonly OutsideLoad[] = [
  { name: 'bodies in one piece that stop a byte short', getPieces: (path, at) => [getHead('POST', path, at, BODY_BYTES), Buffer.alloc(BODY_BYTES - 1, 'x')] },
  { name: 'bodies in small pieces that stop a byte short', getPieces: (path, at) => inPieces(getHead('POST', path, at, BODY_BYTES), Buffer.alloc(BODY_BYTES - 1, 'x'), 1_024) },
  { name: 'chunks of one byte that stay open', reads: true, getPieces: (path, at) => [getHead('POST', path, at), Buffer.from('1\r\nx\r\n'.repeat(300_000))] },
  { name: 'bodies far over the limit', getPieces: (path, at) => [getHead('POST', path, at), ...Array.from({ length: 5 }, () => getChunk(BODY_BYTES))] },
  { name: 'heads of very many short fields, with a body that stops short', reads: true, getPieces: (path, at) => [getHead('POST', path, at, 2, HEAD_BYTES), Buffer.from('x')] },
  { name: 'half of a head of very many short fields', reads: true, getPieces: (path, at) => [getHead('POST', path, at, 2, HEAD_BYTES).subarray(0, -10)] },
  { name: 'pipelined requests whose responses stay unread', getPieces: (path, at) => [Buffer.concat(Array.from({ length: 2_000 }, () => getHead('GET', path, at)))] },
  { name: 'responses that stay unread', getPieces: (path, at) => [getHead('GET', path, at)] },
  { name: 'heads and bodies that trickle', isSlow: true, getPieces: (path, at) => inPieces(Buffer.alloc(0), Buffer.concat([getHead('POST', path, at, BODY_BYTES), Buffer.alloc(65_536, 'x')]), 16) },
  { name: 'responses that are read slowly', isSlow: true, getPieces: (path, at) => [getHead('GET', path, at)] },
  { name: 'more connections than descriptors, each with half a head', reads: true, factor: 16, getPieces: (path, at) => [getHead('GET', path, at).subarray(0, -10)] },
  { name: 'more connections than descriptors, each with a request', reads: true, factor: 16, getPieces: (path, at) => [getHead('GET', path, at)] }
]

/** Load in which each connection has a request. */
export const REQUESTS_LOAD: OutsideLoad = OUTSIDE_LOADS.find(({ name }) => name === 'more connections than descriptors, each with a request')!

/** Loads whose cost beside their bytes grows with the number of connections. */
export const CROWD_LOADS: readonly OutsideLoad[] = OUTSIDE_LOADS.filter(({ name }) => [
  'chunks of one byte that stay open',
  'half of a head of very many short fields',
  'pipelined requests whose responses stay unread',
  REQUESTS_LOAD.name
].includes(name))

/** Puts a load on a process and gets what the process used meanwhile. */
export async function runLoad (load: OutsideLoad, options: LoadOptions): Promise<LoadUse> {
  const { pid, address, path, connections } = options
  const use = { residentBytes: 0, descriptors: 0 }
  const timer = setInterval(() => {
    use.residentBytes = Math.max(use.residentBytes, getResidentBytes(pid))
    use.descriptors = Math.max(use.descriptors, getDescriptors(pid))
  }, POLL_INTERVAL_MS)
  const sockets: Socket[] = []
  try {
    for (let at = 0; at < connections * (load.factor ?? 1); at++) {
      sockets.push(open(address, load, path, at))
      await sleep(CONNECT_GAP_MS)
    }
    await sleep(LOAD_MS)
  } finally {
    clearInterval(timer)
    for (const socket of sockets) socket.destroy()
  }
  return use
}

function open (address: string, load: OutsideLoad, path: string, at: number): Socket {
  const [host, port] = address.split(':')
  const socket = connect({ host: host!, port: Number(port), noDelay: true }).on('error', () => {})
  if (load.reads === true) socket.resume()
  else socket.pause()
  const pieces = load.getPieces(path, at)[Symbol.iterator]()
  if (load.isSlow === true) {
    const timer = setInterval(() => {
      const piece = pieces.next()
      if (piece.done !== true) socket.write(piece.value)
      socket.read()
    }, SLOW_GAP_MS)
    socket.on('close', () => { clearInterval(timer) })
    return socket
  }
  const send = (): void => {
    for (;;) {
      const piece = pieces.next()
      if (piece.done === true || socket.destroyed || !socket.write(piece.value)) return
    }
  }
  socket.on('drain', send)
  send()
  return socket
}

/** Gets a head with the length of its body, with chunks without one, or for GET without a body; very short fields fill it up. */
function getHead (method: string, path: string, at: number, bodyBytes?: number, fillTo = 0): Buffer {
  const framing = method === 'GET' ? '' : bodyBytes === undefined ? 'Transfer-Encoding: chunked\r\n' : `Content-Length: ${bodyBytes}\r\n`
  const start = `${method} ${path} HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: o${at}\r\n${framing}`
  return Buffer.from(`${start}${'a:\r\n'.repeat(Math.max(0, Math.floor((fillTo - start.length - 2) / 4)))}\r\n`)
}

function getChunk (bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`)
}

function * inPieces (head: Buffer, body: Buffer, bytes: number): Iterable<Buffer> {
  yield head
  for (let at = 0; at < body.length; at += bytes) yield body.subarray(at, at + bytes)
}
