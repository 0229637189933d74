import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { createTimeoutSignal } from '../../../src/io/http/index.js'

const TIMEOUT_MS = 30

describe('createTimeoutSignal', () => {
  it('should abort after what arrived during a pause of the event loop was read', async () => {
    const server = createServer().listen(0, '127.0.0.1')
    await once(server, 'listening')
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const [accepted] = await once(server, 'connection') as [Socket]
    const events: string[] = []
    caller.on('data', () => { events.push('read') })
    const signal = createTimeoutSignal(TIMEOUT_MS)
    signal.addEventListener('abort', () => { events.push('aborted') })
    accepted.write('response')
    const pauseEnd = performance.now() + 3 * TIMEOUT_MS
    while (performance.now() < pauseEnd);
    await sleep(TIMEOUT_MS)
    caller.destroy()
    server.close()
    expect([events, (signal.reason as Error).name]).toEqual([['read', 'aborted'], 'TimeoutError'])
  })
})
