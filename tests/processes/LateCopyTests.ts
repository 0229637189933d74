import type { Socket } from 'node:net'
import { expect } from 'earl'
import { waitFor } from './GatewayHarness.js'
import { RawTargetHarness } from './RawTarget.js'

/** Milliseconds after an answer at which its second copy is sent. */
const COPY_DELAYS_MS = [0, 5, 30]

/** Milliseconds between two requests, so that a copy arrives before, between or after them. */
const REQUEST_PAUSES_MS = [0, 10, 50]

/** States a request rate that the test exceeds. */
const LIMIT_HEADER = 'server-limit: 20\r\n'

/** Milliseconds for which a target works on a request. */
const ANSWER_DELAY_MS = 40

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
      await harness.startDesks((socket, { id }) => {
        const body = `answer to ${id}`
        socket.write(toResponse(id, body))
        // The copy has another length, so that the lengths do not hide which answer it is.
        const copy = toResponse(hasId ? id : undefined, `late ${body}`)
        if (copyDelayMs === 0) socket.write(copy)
        else setTimeout(() => { writeIfOpen(socket, copy) }, copyDelayMs)
      })
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

  for (const hasId of [true, false]) {
    it(`should not give the answer of a request that met a copy of a refusal to the next one, ${hasId ? 'with' : 'without'} an id in the copy`, async () => {
      const runs: string[] = []
      await harness.startDesks((socket, { id }) => {
        if (id === 'refused') {
          socket.write(toRefusal(id))
          return
        }
        runs.push(id)
        if (id === 'met') socket.write(toRefusal(hasId ? 'refused' : undefined))
        setTimeout(() => { writeIfOpen(socket, toResponse(id, `answer to ${id}`)) }, ANSWER_DELAY_MS)
      })
      expect((await harness.call({ id: 'refused', path: '/booking/x', body: 'x' })).status).toEqual(503)
      // The target runs the request, so the answer must not say that it is safe to try again.
      expect((await harness.call({ id: 'met', path: '/booking/x', body: 'x' })).status).toEqual(502)
      const next = await harness.call({ id: 'next', path: '/booking/x', body: 'x' })
      expect({ status: next.status, body: next.body }).toEqual({ status: 200, body: 'answer to next' })
      expect(runs).toEqual(['met', 'next'])
    })
  }

  it('should close a connection on which a copy of a refusal arrives while no request waits', async () => {
    await harness.startDesks((socket, { id }) => {
      socket.write(toRefusal(id))
      setTimeout(() => { writeIfOpen(socket, toRefusal(id)) }, ANSWER_DELAY_MS)
    })
    expect((await harness.call({ id: 'refused', path: '/booking/x', body: 'x' })).status).toEqual(503)
    await waitFor(() => harness.target.openConnections === 0)
  })

  it('should not take a copy of a refusal for the response to the same request at another target of that address', async () => {
    const runs: string[] = []
    const refusing = new Map<string, Socket>()
    // A listed target that is gone shares its address with its successor, which refuses requests for the former and runs its own.
    await harness.startDesks((socket, { id }) => {
      const refusingSocket = refusing.get(id)
      if (refusingSocket === undefined) {
        refusing.set(id, socket)
        socket.write(toRefusal(id, LIMIT_HEADER))
        return
      }
      runs.push(id)
      writeIfOpen(refusingSocket, toRefusal(id, LIMIT_HEADER))
      setTimeout(() => { writeIfOpen(socket, toResponse(id, `answer to ${id}`, LIMIT_HEADER)) }, ANSWER_DELAY_MS)
    })
    // The second try of a request waits for a permit, so that the connection of the first one is idle again.
    const ids = Array.from({ length: 10 }, (_, at) => `booking-${at}`)
    for (const id of ids) {
      const response = await harness.call({ id, path: '/booking/x', body: 'x' })
      expect({ status: response.status, body: response.body }).toEqual({ status: 200, body: `answer to ${id}` })
    }
    expect(runs).toEqual(ids)
    expect(harness.gateway.getEvents('permit-awaited').length > 0).toEqual(true)
  })
})

function toRefusal (id: string | undefined, header = ''): string {
  const idHeader = id === undefined ? '' : `x-request-id: ${id}\r\n`
  return `HTTP/1.1 503 Service Unavailable\r\n${idHeader}${header}x-not-executed: 1\r\nkeep-alive: timeout=10\r\ncontent-length: 0\r\n\r\n`
}

function toResponse (id: string | undefined, body: string, header = ''): string {
  const idHeader = id === undefined ? '' : `x-request-id: ${id}\r\n`
  return `HTTP/1.1 200 OK\r\n${idHeader}${header}x-response-signature: s\r\nkeep-alive: timeout=10\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

function writeIfOpen (socket: Socket, text: string): void {
  if (!socket.destroyed) socket.write(text)
}
