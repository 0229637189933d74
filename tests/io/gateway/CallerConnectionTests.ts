import { expect } from 'earl'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { ManualClock } from '../../../src/core/clock/index.js'
import { ConnectionPhase, ParseTurns } from '../../../src/core/connection/index.js'
import { ByteBudget } from '../../../src/core/limits/index.js'
import { CallerConnection } from '../../../src/io/gateway/index.js'
import { waitFor } from '../../processes/GatewayHarness.js'

const CHUNKS = 20_000
const STEP_MS = 500
const LIMITS = { idle: 15_000, head: 3_000, body: 30_000 }

describe('CallerConnection', () => {
  let server: Server
  let caller: Socket

  afterEach(() => {
    caller.destroy()
    server.close()
  })

  // Callers that had sent their whole body were refused after 30 s, because others sent so many chunks.
  it('should not count the time in which a body waits for its turn to be parsed', async () => {
    const deferred: Array<() => void> = []
    const turns = new ParseTurns(run => { deferred.push(run) })
    const memory = new ByteBudget({ maxBytes: 1e9 })
    const clock = new ManualClock()
    let connection: CallerConnection | undefined
    let received = 0
    server = createServer((req, res) => {
      connection!.addRequest(req, res)
      req.on('data', (chunk: Buffer) => { received += chunk.length })
    })
    server.on('connection', socket => {
      connection = new CallerConnection({
        socket,
        clock,
        getLimits: () => LIMITS,
        onEnd: () => {},
        held: memory.open(''),
        headHeld: memory.open(''),
        cost: memory.openCost(''),
        getMaxHeadBytes: () => 16_384,
        onHeadTooLarge: () => {},
        onHeadsFull: () => {},
        turns,
        isMemoryShort: () => false,
        onRead: () => {}
      })
      connection.startFeed()
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    caller = connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {})
    caller.write('POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n' + '1\r\nx\r\n'.repeat(CHUNKS))
    await waitFor(() => connection?.getPhase() === ConnectionPhase.Body)
    const update = (forMs: number): void => {
      for (let ms = 0; ms < forMs; ms += STEP_MS) {
        clock.advanceTo(clock.now() + STEP_MS)
        connection!.update()
      }
    }
    update(LIMITS.body + 1_000)
    expect(connection!.getOverduePhase()).toEqual(undefined)
    // Once everything is parsed that was sent, the caller's time counts.
    await waitFor(() => {
      deferred.shift()?.()
      return received === CHUNKS
    })
    update(LIMITS.body - 1_000)
    expect(connection!.getOverduePhase()).toEqual(undefined)
    update(2_000)
    expect(connection!.getOverduePhase()).toEqual(ConnectionPhase.Body)
  })
})
