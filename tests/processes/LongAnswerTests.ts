import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { RESPONSE_BUFFER_BYTES } from '../../src/io/gateway/index.js'
import { STREAM_BODY, waitFor } from './GatewayHarness.js'
import { RawTargetHarness } from './RawTarget.js'

/** Bytes of an answer that arrive before it breaks off, so that its head has been sent to the caller. */
const SENT_BYTES = RESPONSE_BUFFER_BYTES + 20_000

/** Milliseconds within which a caller must see the end of an answer that was broken off; the time limit of the route is 2 s. */
const MAX_END_MS = 1_000

const END_DELAY_MS = 30

describe('a gateway whose targets break off a long answer', () => {
  let harness: RawTargetHarness

  beforeEach(async () => {
    harness = new RawTargetHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  for (const framing of ['content-length: 400000', 'transfer-encoding: chunked', 'connection: close']) {
    it(`should end the answer to a request that may be repeated, and not as complete: ${framing}`, async () => {
      await harness.startDesks((socket, { id }) => { void breakOff(socket, 200, id, framing) })
      const startedAt = performance.now()
      const response = await Promise.race([harness.call({ id: 'long', path: '/lookup/x' }), sleep(MAX_END_MS)])
      expect(response?.isComplete).toEqual(false)
      expect(performance.now() - startedAt < MAX_END_MS).toEqual(true)
      await waitFor(() => harness.gateway.getEvents('answer-broken-off').length === 1)
    })
  }

  it('should not continue the answer of one target with the stream of another', async () => {
    const tries: string[] = []
    await harness.startEngines((socket, { id }) => {
      tries.push(id)
      if (tries.length === 1) void breakOff(socket, 500, id, 'content-length: 400000')
      else socket.write(`${toHead(200, id, `content-length: ${STREAM_BODY.length}`)}${STREAM_BODY}`)
    })
    const response = await harness.sendTurn('turn-1', {}, 'x', '/turns/resumable/a')
    expect({ status: response.status, isComplete: response.isComplete }).toEqual({ status: 500, isComplete: false })
    expect(response.body.includes('data:')).toEqual(false)
    expect(tries).toEqual(['turn-1'])
  })
})

async function breakOff (socket: Socket, status: number, id: string, framing: string): Promise<void> {
  const body = 'x'.repeat(SENT_BYTES)
  const isChunked = framing.includes('chunked')
  socket.write(toHead(status, id, framing))
  await new Promise(resolve => { socket.write(isChunked ? `${body.length.toString(16)}\r\n${body}\r\n` : body, resolve) })
  await sleep(END_DELAY_MS)
  socket.resetAndDestroy()
}

function toHead (status: number, id: string, header: string): string {
  return `HTTP/1.1 ${status} Status\r\nx-request-id: ${id}\r\nx-response-signature: s\r\n${header}\r\n\r\n`
}
