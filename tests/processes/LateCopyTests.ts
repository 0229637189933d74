import type { Socket } from 'node:net'
import { expect } from 'earl'
import { waitFor } from './GatewayHarness.js'
import { RawTargetHarness } from './RawTarget.js'

/** Milliseconds after an answer at which its second copy is sent. */
const COPY_DELAYS_MS = [0, 5, 30]

/** Milliseconds between two requests, so that a copy arrives before, between or after them. */
const REQUEST_PAUSES_MS = [0, 10, 50]

// A server sends a second copy of an answer, late, on a connection that is in use again.
describe('a gateway whose targets answer twice', () => {
  let harness: RawTargetHarness

  beforeEach(async () => {
    harness = new RawTargetHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  for (const hasId of [true, false]) {
    it(`should never give an answer to another request, ${hasId ? 'with' : 'without'} an id in the copy`, async () => {
      let copyDelayMs = 0
      await harness.target.start((socket, { id }) => {
        const body = `answer to ${id}`
        socket.write(toResponse(id, body))
        // The copy has another length, so that the lengths do not hide which answer it is.
        const copy = toResponse(hasId ? id : undefined, `late ${body}`)
        if (copyDelayMs === 0) socket.write(copy)
        else setTimeout(() => { writeIfOpen(socket, copy) }, copyDelayMs)
      })
      harness.fixture.replaceDesks(harness.target.address)
      await waitFor(() => harness.gateway.getEvents('target-changed').length > 0)
      let served = 0
      for (copyDelayMs of COPY_DELAYS_MS) {
        for (const pauseMs of REQUEST_PAUSES_MS) {
          for (let at = 0; at < 6; at++) {
            const id = `c${copyDelayMs}-${pauseMs}-${at}`
            const response = await harness.call({ id, path: at % 2 === 0 ? '/lookup/x' : '/booking/x', ...(at % 2 === 0 ? {} : { body: 'x' }) })
            if (response.status === 200) {
              expect(response.body).toEqual(`answer to ${id}`)
              served++
            } else {
              expect(response.status).toEqual(502)
            }
            await new Promise(resolve => { setTimeout(resolve, pauseMs) })
          }
        }
      }
      // Most requests are served: a copy costs at most the request that it meets.
      expect(served >= 27).toEqual(true)
    })
  }
})

function toResponse (id: string | undefined, body: string): string {
  const idHeader = id === undefined ? '' : `x-request-id: ${id}\r\n`
  return `HTTP/1.1 200 OK\r\n${idHeader}x-response-signature: s\r\nkeep-alive: timeout=10\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

function writeIfOpen (socket: Socket, text: string): void {
  if (!socket.destroyed) socket.write(text)
}
