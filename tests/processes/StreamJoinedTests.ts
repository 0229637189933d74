import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { STREAM_BODY } from './GatewayHarness.js'
import { RawTargetHarness } from './RawTarget.js'

/** Milliseconds after the last byte at which a response ends, so that it was read before. */
const END_DELAY_MS = 30

/** The events of a stream before and after the break. */
const BEGUN = STREAM_BODY.slice(0, STREAM_BODY.indexOf('id: 3'))
const REST = STREAM_BODY.slice(BEGUN.length)

/** Text of an error page with an empty line, which ends an event. */
const PAGE = '<h1>Proxy error</h1>\n\n<p>Try again.</p>\n\n'

/** Ways in which the first target breaks its stream off. */
const BREAKS: Readonly<Record<string, (socket: Socket) => void>> = {
  'a reset between events': socket => { socket.resetAndDestroy() },
  'a reset within an event': socket => { socket.write('id: 3\nda', () => { setTimeout(() => { socket.resetAndDestroy() }, END_DELAY_MS) }) },
  'an end within an event': socket => { socket.end('id: 3\nda') }
}

/** Responses of the next target that are no continuation: the status line's end, headers, and the body. */
const OTHER_RESPONSES: Readonly<Record<string, readonly [status: string, headers: string, body: string]>> = {
  'an error page': ['500 Error', 'content-type: text/html', PAGE],
  'an error as events': ['500 Error', 'content-type: text/event-stream', REST],
  'a redirect': ['302 Found', 'location: /x\r\ncontent-type: text/html', PAGE],
  'a missing path': ['404 Not Found', 'content-type: text/plain', PAGE],
  'a rate limit': ['429 Too Many Requests', 'content-type: text/plain', PAGE],
  'no content': ['204 No Content', 'content-type: text/event-stream', ''],
  'a page with success': ['200 OK', 'content-type: text/html; charset=utf-8', PAGE],
  'a page without a type': ['200 OK', 'server: x', PAGE],
  'a page as events': ['200 OK', 'content-type: text/event-stream', PAGE],
  'an empty page': ['200 OK', 'content-type: text/html', ''],
  'events without ids': ['200 OK', 'content-type: text/event-stream', 'data: error\n\n'],
  'the stream from its first event': ['200 OK', 'content-type: text/event-stream', STREAM_BODY],
  'the last event again': ['200 OK', 'content-type: text/event-stream', STREAM_BODY.slice(STREAM_BODY.indexOf('id: 2'))]
}

// Fails when a response of the next target that is no continuation is joined to a stream that broke off, or ends it as complete.
describe('a stream that breaks off', () => {
  let harness: RawTargetHarness

  beforeEach(async () => {
    harness = new RawTargetHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  for (const [name, breakOff] of Object.entries(BREAKS)) {
    it(`should not be joined to another response: ${name}`, async () => {
      let response = Object.values(OTHER_RESPONSES)[0]!
      await startTargets(breakOff, () => response)
      const joined: string[] = []
      for (const [other, parts] of Object.entries(OTHER_RESPONSES)) {
        response = parts
        const turn = await harness.sendTurn(`turn-${other.replaceAll(' ', '-')}`, {}, 'x', '/turns/resumable/a')
        if (turn.body !== BEGUN || turn.isComplete || turn.status !== 200) joined.push(`${other}: ${turn.status} ${turn.isComplete} ${turn.body}`)
      }
      expect(joined).toEqual([])
    })
  }

  it('should be continued by the next events, after a comment, and be complete when none is left', async () => {
    let rest = REST
    await startTargets(BREAKS['an end within an event']!, () => ['200 OK', 'content-type: text/event-stream;charset=utf-8', rest])
    for (const [id, body] of [['rest', REST], ['comment', `: ping\n\n${REST}`], ['empty', '']] as const) {
      rest = body
      const turn = await harness.sendTurn(id, {}, 'x', '/turns/resumable/a')
      expect({ body: turn.body, isComplete: turn.isComplete }).toEqual({ body: body === '' ? BEGUN : STREAM_BODY, isComplete: true })
    }
  })

  /** Starts targets of which the first one that gets a request breaks its stream off, and the next one sends another response. */
  async function startTargets (breakOff: (socket: Socket) => void, getOther: () => readonly [string, string, string]): Promise<void> {
    const begun = new Set<string>()
    await harness.startEngines((socket, { id }) => {
      const head = `x-request-id: ${id}\r\nx-response-signature: s\r\nconnection: close`
      if (!begun.has(id)) {
        begun.add(id)
        socket.write(`HTTP/1.1 200 OK\r\n${head}\r\ncontent-type: text/event-stream\r\n\r\n${BEGUN}`)
        void sleep(END_DELAY_MS).then(() => { breakOff(socket) })
        return
      }
      const [status, headers, body] = getOther()
      socket.write(`HTTP/1.1 ${status}\r\n${head}\r\n${headers}\r\n\r\n${body}`)
      void sleep(END_DELAY_MS).then(() => { socket.end() })
    })
  }
})
