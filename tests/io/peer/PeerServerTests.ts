import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { ByteBudget } from '../../../src/core/limits/index.js'
import { PeerServer } from '../../../src/io/peer/index.js'

const BUDGET_BYTES = 1_000_000

/** Bytes of a body of which two are more than the budget. */
const BODY_BYTES = 300_000

describe('PeerServer', () => {
  let server: PeerServer
  let memory: ByteBudget
  let address: string
  const sockets: Socket[] = []

  beforeEach(async () => {
    memory = new ByteBudget({ maxBytes: BUDGET_BYTES })
    server = new PeerServer({ memory, getOrigin: () => undefined } as unknown as ConstructorParameters<typeof PeerServer>[0])
    address = await server.listen('127.0.0.1:0')
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  // The bodies that peers send were neither counted nor bounded.
  it('should refuse calls whose bodies exceed the budget of all, and serve small ones and later ones', async () => {
    const half = await send(BODY_BYTES, 'x')
    const heldBytes = memory.getHeldBytes()
    const refused = await send(BODY_BYTES, 'x')
    const small = await send(2, '{}')
    half.socket.destroy()
    await sleep(100)
    const later = await send(BODY_BYTES, 'x'.repeat(BODY_BYTES))
    expect([half.text, heldBytes, refused.text.slice(0, 12)]).toEqual(['', 2 * BODY_BYTES, 'HTTP/1.1 503'])
    expect([small.text, later.text].some(text => text === '' || text.startsWith('HTTP/1.1 503'))).toEqual(false)
    expect(memory.getHeldBytes()).toEqual(0)
  })

  async function send (statedBytes: number, body: string): Promise<{ socket: Socket, text: string }> {
    const [host, port] = address.split(':')
    const socket = connect(Number(port), host!).on('error', () => {})
    sockets.push(socket)
    const result = { socket, text: '' }
    socket.on('data', data => { result.text += data.toString() })
    socket.write(`POST /commit HTTP/1.1\r\nHost: peer\r\nContent-Type: application/json\r\nContent-Length: ${statedBytes}\r\n\r\n${body}`)
    await sleep(200)
    return result
  }
})
