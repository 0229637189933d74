import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { FIXTURE_HOST } from '../../tools/platform/PlatformFixture.js'
import { GatewayHarness, waitFor } from './GatewayHarness.js'
import { RawCaller, toBytes } from './RawCaller.js'

const BOOKING = `POST /booking/x HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: b1\r\n`

/** Bytes beyond the body limit of the fixture, and beyond what the buffers of a connection hold. */
const LONG_BODY = 'x'.repeat(8_000_000)

describe('a refusal while bytes of the request are unread', () => {
  let harness: GatewayHarness
  let caller: RawCaller

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
    caller = await RawCaller.connect(harness.gateway.callerAddress)
  })

  afterEach(async () => {
    caller.close()
    await harness.stop()
  })

  const cases: Array<[number, string, string]> = [
    [413, 'a body with a length', `${BOOKING}Content-Length: ${LONG_BODY.length}\r\n\r\n${LONG_BODY}`],
    [413, 'a body in chunks', `${BOOKING}Transfer-Encoding: chunked\r\n\r\n${LONG_BODY.length.toString(16)}\r\n${LONG_BODY}\r\n0\r\n\r\n`],
    [400, 'two hosts', `${BOOKING}Host: other.example\r\nContent-Length: ${LONG_BODY.length}\r\n\r\n${LONG_BODY}`],
    [400, 'malformed bytes', `NONSENSE\r\n\r\n${LONG_BODY}`],
    [404, 'an unknown path', `${BOOKING.replace('/booking/', '/unknown/')}Content-Length: ${LONG_BODY.length}\r\n\r\n${LONG_BODY}`],
    [431, 'too many headers', `${BOOKING}X-Long: ${'x'.repeat(200_000)}\r\n\r\n${LONG_BODY}`],
    [408, 'half a head', 'POST /booking/x HTTP/1.1\r\nHost:']
  ]
  for (const [status, name, bytes] of cases) {
    it(`should reach the caller before the connection is closed: ${status}, ${name}`, async () => {
      caller.write(bytes)
      await caller.waitForResponses(1)
      // What is still on its way must not reset the connection.
      if (status === 408) caller.write(LONG_BODY)
      await sleep(300)
      expect([caller.getStatuses(), caller.errorCode, harness.getRuns('b1')]).toEqual([[status], undefined, []])
    })
  }

  it('should not keep the connection of a caller that goes on sending', async () => {
    caller.write('NONSENSE\r\n\r\n')
    const timer = setInterval(() => { caller.write('more') }, 50)
    try {
      await waitFor(() => caller.errorCode !== undefined)
    } finally {
      clearInterval(timer)
    }
    expect(caller.getStatuses()).toEqual([400])
  })

  it('should run nothing that follows a refused request on its connection', async () => {
    const next = toBytes({ id: 'b2', path: '/booking/x', body: 'bench 4' })
    caller.write(`${BOOKING}Content-Length: 70000\r\n\r\n${next}`)
    await caller.waitForResponses(1)
    caller.write(`${'x'.repeat(70_000 - next.length)}${next}`)
    await sleep(300)
    expect([caller.getStatuses(), harness.getRuns('b2')]).toEqual([[413], []])
  })
})
