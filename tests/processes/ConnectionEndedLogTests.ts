import { expect } from 'earl'
import { GatewayHarness, waitFor } from './GatewayHarness.js'
import { RawCaller, toBytes } from './RawCaller.js'

describe('the log of connections that the gateway ends', () => {
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

  const half = 'POST /booking/x HTTP/1.1\r\nHost:'
  const whole = toBytes({ id: 'b1', path: '/booking/x', body: 'bench 4' })
  const cases: Array<[string, string, object]> = [
    ['half a head', half, { cause: 'header-timeout', phase: 'head', requests: 0, bytesRead: half.length }],
    ['malformed bytes', 'NONSENSE\r\n\r\n', { cause: 'refusal', phase: 'head', requests: 0, bytesRead: 12 }],
    ['a planned stop', whole, { cause: 'stop', phase: 'idle', requests: 1, bytesRead: whole.length }]
  ]
  for (const [name, bytes, expected] of cases) {
    it(`should have one line that tells the cause and what was read: ${name}`, async () => {
      caller.write(bytes)
      await caller.waitForResponses(1)
      if (name === 'a planned stop') harness.gateway.signal('SIGTERM')
      await waitFor(() => caller.isClosed)
      await waitFor(() => harness.gateway.getEvents('connection-ended').length > 0)
      const lines = harness.gateway.getEvents('connection-ended')
      expect(lines.map(({ by, cause, phase, requests, bytesRead, config }) => ({ by, cause, phase, requests, bytesRead, config })))
        .toEqual([{ by: 'gateway', ...expected, config: 4 }] as never)
    })
  }
})
