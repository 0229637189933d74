import { expect } from 'earl'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { ByteBudget, getProcessLimits } from '../../../src/core/limits/index.js'
import { ConfigHolder, RouteKind, type Route } from '../../../src/core/route/index.js'
import {
  GatewayMetrics, GatewayServer, KeyGate, type Exchange, type PlainForwarder, type StreamForwarder
} from '../../../src/io/gateway/index.js'
import { BufferGarbage, DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { PlatformProtocol } from '../../../platform/PlatformProtocol.js'
import { callPlatform } from '../../../tools/platform/PlatformCaller.js'
import { FIXTURE_HOST } from '../../../tools/platform/PlatformFixture.js'

const ROUTE: Route = {
  name: 'lookup',
  host: FIXTURE_HOST,
  pathPrefix: '/lookup/',
  kind: RouteKind.Idempotent,
  backends: [],
  timeoutMs: 1_000,
  objectiveMs: 100,
  priority: 0,
  maxAttempts: 1,
  isPublic: false,
  isRetained: false,
  retentionMs: 0,
  isResumable: false,
  maxGapMs: 100
}

/** What may follow a whole request on its connection and is refused while the request's body is read. */
const TAILS: Readonly<Record<string, string>> = {
  nothing: '',
  'bytes that are no request': 'garbage\r\n\r\n',
  'a part of a request without a route': 'POST /nowhere/ HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: r2\r\nContent-Length: 100\r\n\r\nabc',
  'a part of a body that is too large': `POST /lookup/y HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: r2\r\nContent-Length: 99999\r\n\r\nabc`
}

describe('GatewayServer', () => {
  let server: GatewayServer

  afterEach(() => { server.stopListening() })

  // The connection was closed without an answer.
  it('should answer a request whose forwarding fails unexpectedly, without a statement that it has not run', async () => {
    const address = await listen(async () => { throw new Error('unexpected') })
    const response = await callPlatform(address, { id: 'r1', path: '/lookup/x' })
    expect([response.status, JSON.parse(response.body).outcome]).toEqual([502, 'unknown'])
  })

  for (const [name, tail] of Object.entries(TAILS)) {
    // The request was dropped, with neither an answer nor a refusal, and its connection stayed open.
    it(`should answer a whole request that is followed by ${name}`, async () => {
      const forwarded: string[] = []
      const address = await listen(async exchange => {
        forwarded.push(exchange.call.id)
        exchange.refuse({ reason: 'no-target' })
      })
      const text = await send(address, [`POST /lookup/x HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: r1\r\nContent-Length: 5\r\n\r\nhello${tail}`])
      expect([forwarded, text.match(/HTTP\/1.1 \d+/g)![0]]).toEqual([['r1'], 'HTTP/1.1 503'])
      expect(server.getInProgress()).toEqual(0)
    })
  }

  it('should not forward a request that was refused before its body was whole', async () => {
    const forwarded: string[] = []
    const address = await listen(async exchange => { forwarded.push(exchange.call.id) })
    const head = `POST /nowhere/x HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: r1\r\nContent-Length: 5\r\n\r\n`
    const text = await send(address, [`${head}he`, 'llo', `${head.replace('nowhere', 'lookup').replace('r1', 'r2')}hello`])
    expect([forwarded, text.match(/HTTP\/1.1 \d+/g)]).toEqual([[], ['HTTP/1.1 404']])
  })

  // Heads that never end held all memory that requests may hold, so that ordinary requests got 503.
  it('should serve an ordinary request while many connections send half a head', async () => {
    const forwarded: string[] = []
    const address = await listen(async exchange => { forwarded.push(exchange.call.id) })
    const [host, port] = address.split(':')
    const start = `GET /lookup/x HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: half\r\n`
    const halves = Array.from({ length: 30 }, () => connect(Number(port), host!).on('error', () => {}))
    for (const half of halves) half.resume().write(start + 'a:\r\n'.repeat(950))
    await sleep(200)
    await send(address, [`GET /lookup/x HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: r1\r\n\r\n`])
    for (const half of halves) half.destroy()
    expect(forwarded).toEqual(['r1'])
  })

  // The turns in which such bodies are parsed must neither lose a byte nor the request that follows on the connection.
  it('should read whole bodies in chunks of one byte from several connections at once, and the requests after them', async () => {
    const forwarded = new Map<string, number | undefined>()
    const address = await listen(async (exchange, body) => {
      forwarded.set(exchange.call.id, body?.length)
      exchange.refuse({ reason: 'no-target' })
    })
    const toRequest = (id: string): string =>
      `POST /lookup/x HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(4_000)}0\r\n\r\n`
    await Promise.all(['a', 'b', 'c', 'd'].map(async name => { await send(address, [toRequest(`${name}1`) + toRequest(`${name}2`), '']) }))
    expect([...forwarded.keys()].sort()).toEqual(['a1', 'a2', 'b1', 'b2', 'c1', 'c2', 'd1', 'd2'])
    expect([...new Set(forwarded.values())]).toEqual([4_000])
  })

  async function listen (forward: (exchange: Exchange, body?: Buffer) => Promise<void>): Promise<string> {
    const clock = new SteadyClock()
    const configs = new ConfigHolder()
    const limits = { headerBytes: 4_096, bodyBytes: 4_096, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
    configs.applyIfNewer({ version: 1, routes: [ROUTE], services: new Map(), limits }, clock.now())
    const log = new DecisionLog({ process: 'test', id: 'test', isSilent: true, onDropped: () => {} })
    const memory = new ByteBudget({ maxBytes: 1_000_000 })
    const metrics = new GatewayMetrics()
    const garbage = new BufferGarbage({ getUsedBytes: () => 0 })
    const context = { clock, log, metrics, protocol: new PlatformProtocol(), configs, memory, garbage, closesAfter: () => false }
    const [plain, streams] = [{ forward } as unknown as PlainForwarder, { forward } as unknown as StreamForwarder]
    const confirmation = { isConfirmedSince: () => true, confirm: async () => {} }
    const keys = new KeyGate({ configs, clock, confirmation, getResumedAt: () => -Infinity, isStoreUnavailable: () => false })
    const bounds = getProcessLimits({ memoryMb: 178, heapBytes: 120_000_000, maxFds: 4_100 })
    server = new GatewayServer({ context, plain, streams, keys, limits: bounds })
    return await server.listen('127.0.0.1:0')
  }
})

/** Sends parts one after the other and returns what was received. */
async function send (address: string, parts: readonly string[]): Promise<string> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host!)
  let text = ''
  socket.on('data', data => { text += data.toString() }).on('error', () => {})
  for (const part of parts) {
    socket.write(part)
    await sleep(200)
  }
  socket.destroy()
  return text
}
