import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { PlatformProtocol } from '../../../platform/PlatformProtocol.js'
import type { CallRequest } from '../../../src/core/forward/index.js'
import { TargetClient, TargetError } from '../../../src/io/gateway/index.js'
import { RawTarget } from '../../processes/RawTarget.js'

/** Channel on which undici announces its connections. */
const CONNECTED_CHANNEL = 'undici:client:connected'

/** Milliseconds after the last byte at which a response ends. */
const END_DELAY_MS = 30

/** Body that is longer than what is buffered for a caller. */
const LONG_BODY = 'x'.repeat(400_000)

/** Body for which reading is paused after its last byte, so that the end of its connection is seen while it is paused. */
const PAUSED_BODY = 'x'.repeat(100_000)

type ResponseEnd = 'close' | 'reset'

interface RawResponse {
  /** Head without `HTTP/1.`; `ID` stands for the id of the request. */
  readonly head: string
  readonly body: string
  readonly end: ResponseEnd
  readonly isWhole: boolean
  /** False for a caller that begins to read after the end. */
  readonly isRead?: boolean
}

const UNFRAMED = '1 200 OK\r\nx-request-id: ID'
const UNFRAMED_CLOSE = `${UNFRAMED}\r\nconnection: close`
const OLD = '0 200 OK\r\nx-request-id: ID'
const LENGTH = `${UNFRAMED}\r\ncontent-length: 10`
const CHUNKED = `${UNFRAMED}\r\ntransfer-encoding: chunked`

const RESPONSES: Record<string, RawResponse> = {
  'no length, closed': { head: UNFRAMED, body: 'part', end: 'close', isWhole: true },
  'no length, announced, closed': { head: UNFRAMED_CLOSE, body: 'part', end: 'close', isWhole: true },
  'no length, HTTP/1.0, closed': { head: OLD, body: 'part', end: 'close', isWhole: true },
  'no length, empty, closed': { head: UNFRAMED, body: '', end: 'close', isWhole: true },
  'no length, not read, closed': { head: UNFRAMED, body: LONG_BODY, end: 'close', isWhole: true, isRead: false },
  'no length, paused, closed': { head: UNFRAMED, body: PAUSED_BODY, end: 'close', isWhole: true, isRead: false },
  'no length, paused, reset': { head: UNFRAMED, body: PAUSED_BODY, end: 'reset', isWhole: false, isRead: false },
  'no length, reset': { head: UNFRAMED, body: 'part', end: 'reset', isWhole: false },
  'no length, announced, reset': { head: UNFRAMED_CLOSE, body: 'part', end: 'reset', isWhole: false },
  'no length, HTTP/1.0, reset': { head: OLD, body: 'part', end: 'reset', isWhole: false },
  'no length, empty, reset': { head: UNFRAMED, body: '', end: 'reset', isWhole: false },
  'no length, not read, reset': { head: UNFRAMED, body: LONG_BODY, end: 'reset', isWhole: false, isRead: false },
  'length, closed early': { head: LENGTH, body: 'part', end: 'close', isWhole: false },
  'length, announced, closed early': { head: `${LENGTH}\r\nconnection: close`, body: 'part', end: 'close', isWhole: false },
  'length, announced, reset early': { head: `${LENGTH}\r\nconnection: close`, body: 'part', end: 'reset', isWhole: false },
  'length, HTTP/1.0, closed early': { head: `${OLD}\r\ncontent-length: 10`, body: 'part', end: 'close', isWhole: false },
  'length, HTTP/1.0, whole, reset': { head: `${OLD}\r\ncontent-length: 4`, body: 'part', end: 'reset', isWhole: true },
  'length, whole, reset': { head: LENGTH, body: '0123456789', end: 'reset', isWhole: true },
  'chunks, closed before the last one': { head: CHUNKED, body: '4\r\npart\r\n', end: 'close', isWhole: false },
  'chunks, announced, closed before the last one': { head: `${CHUNKED}\r\nconnection: close`, body: '4\r\npart\r\n', end: 'close', isWhole: false },
  'chunks, announced, reset before the last one': { head: `${CHUNKED}\r\nconnection: close`, body: '4\r\npart\r\n', end: 'reset', isWhole: false },
  'chunks, closed within the last one': { head: `${CHUNKED}\r\nconnection: close`, body: '4\r\npart\r\n0\r\n', end: 'close', isWhole: false },
  'chunks, whole, reset': { head: `${CHUNKED}\r\nconnection: close`, body: '4\r\npart\r\n0\r\n\r\n', end: 'reset', isWhole: true }
}

describe('TargetClient', () => {
  let target: RawTarget
  let client: TargetClient
  let sockets: Socket[]
  const onConnected = (message: unknown): void => { sockets.push((message as { socket: Socket }).socket) }

  beforeEach(() => {
    target = new RawTarget()
    client = new TargetClient(new PlatformProtocol())
    sockets = []
    subscribe(CONNECTED_CHANNEL, onConnected)
  })

  afterEach(async () => {
    unsubscribe(CONNECTED_CHANNEL, onConnected)
    await client.close()
    target.close()
  })

  for (const code of ['EHOSTUNREACH', 'ECONNREFUSED', 'ECONNRESET', 'ETIMEDOUT', 'EPIPE']) {
    it(`should not state that a request did not run which was sent before its connection failed with ${code}`, async () => {
      await target.start(() => { sockets[0]!.destroy(Object.assign(new Error(code), { code })) })
      const err = await send().catch((reason: unknown) => reason)
      expect(err instanceof TargetError && err.isNotRun).toEqual(false)
    })
  }

  it('should state that a request did not run whose target accepts no connection', async () => {
    await target.start(() => {})
    target.close()
    const err = await send().catch((reason: unknown) => reason)
    expect(err instanceof TargetError && err.isNotRun).toEqual(true)
  })

  // After a pause between the choice of a target and the write, it would state a time that has passed or reach a target that has left.
  it('should not write a request that is outdated when its connection has opened', async () => {
    const ids: string[] = []
    await target.start((_socket, { id }) => { ids.push(id) })
    const err = await send(() => false).catch((reason: unknown) => reason)
    expect(err instanceof TargetError && [err.isNotRun, err.isUnreachable]).toEqual([true, false])
    await sleep(END_DELAY_MS)
    expect(ids).toEqual([])
  })

  for (const [name, { head, body, end, isWhole, isRead }] of Object.entries(RESPONSES)) {
    it(`should ${isWhole ? 'deliver a response' : 'fail on a response that was broken off'}: ${name}`, async () => {
      await target.start((socket, { id }) => { void writeResponse(socket, `HTTP/1.${head.replace('ID', id)}\r\n\r\n${body}`, end) })
      const response = await send()
      // A caller that does not read lets the connection be paused.
      if (isRead === false) await sleep(END_DELAY_MS * 4)
      const received = await readAll(response.body).catch(() => undefined)
      expect(abbreviate(received)).toEqual(abbreviate(isWhole ? getContent(body) : undefined))
    })
  }

  async function send (isCurrent = (): boolean => true): ReturnType<TargetClient['send']> {
    const call = createCall('r1')
    const location = { address: target.address, failureDomain: 'here' }
    const instance = { id: 'i1', bornAt: 1, service: 's', softwareVersion: 'v1', ...location, isLeaving: false, slots: 1 }
    const dispatch = { target: instance, timeoutMs: 1_000 }
    return await client.send({ call, dispatch, body: undefined, signal: new AbortController().signal, isCurrent, isRepeated: false })
  }
})

function createCall (id: string): CallRequest {
  const head = { method: 'GET', url: '/a', rawHeaders: ['host', 'desk.example', 'x-request-id', id] }
  return new PlatformProtocol().decodeRequest(head).unsafeCoerce()
}

async function writeResponse (socket: Socket, text: string, end: ResponseEnd): Promise<void> {
  await new Promise(resolve => { socket.write(text, resolve) })
  await sleep(END_DELAY_MS)
  if (end === 'close') socket.end()
  else socket.resetAndDestroy()
}

async function readAll (body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of body) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

/** Gets the content of a body that may consist of a single chunk. */
function getContent (body: string): string {
  return /^4\r\n(part)\r\n/.exec(body)?.[1] ?? body
}

function abbreviate (text: string | undefined): string {
  return text === undefined ? 'broken off' : `${text.length} bytes: ${text.slice(0, 20)}`
}
