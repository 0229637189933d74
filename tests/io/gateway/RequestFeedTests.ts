import { expect } from 'earl'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { ParseTurns, type Expected } from '../../../src/core/connection/index.js'
import { RequestFeed } from '../../../src/io/gateway/RequestFeed.js'

const HEAD = 'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
const CHUNKS = 200_000

/** Bytes that a socket reads at once. */
const READ_BYTES = 65_536

/** Turns of the event loop after which the test gives up. */
const MAX_TURNS = 1_000

describe('RequestFeed', () => {
  let server: Server
  let caller: Socket

  afterEach(() => {
    caller.destroy()
    server.close()
  })

  // The body resumes the socket after each piece that is read of it, so that all that the caller sent gathered in the feed.
  it('should hold one read at most of a body that waits for its turn, and parse all of it in the end', async () => {
    const deferred: Array<() => void> = []
    const turns = new ParseTurns(run => { deferred.push(run) })
    let expected: Expected = 'head'
    let received = 0
    let feed: RequestFeed | undefined
    server = createServer(req => {
      expected = 'chunks'
      req.on('data', (chunk: Buffer) => { received += chunk.length })
    })
    server.on('connection', (socket: Socket) => {
      feed = new RequestFeed({ socket, getExpected: () => expected, turns, onRead: () => {}, onParsed: () => {} })
      feed.attach()
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    caller = connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {})
    caller.write(HEAD + '1\r\nx\r\n'.repeat(CHUNKS))
    let most = 0
    for (let turn = 0; turn < MAX_TURNS; turn++) {
      if (received === CHUNKS) break
      await sleep(5)
      most = Math.max(most, feed?.getWaitingBytes() ?? 0)
      deferred.shift()?.()
    }
    expect(received).toEqual(CHUNKS)
    expect(most).toBeGreaterThan(0)
    expect(most <= READ_BYTES).toEqual(true)
  })
})
