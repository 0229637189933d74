import { createServer, type AddressInfo } from 'node:net'
import { expect } from 'earl'
import type { Dispatch } from '../../../src/core/call/index.js'
import { PlainClient } from '../../../src/io/sidecar/PlainClient.js'

// MIXED: the answer of a plain service with a status such as 600 was handed out as complete.
describe('PlainClient', () => {
  for (const [status, type] of [['200', 'complete'], ['599', 'complete'], ['600', 'crashed'], ['999', 'crashed'], ['000', 'crashed']] as const) {
    it(`should take a response with status ${status} for ${type}`, async () => {
      const server = createServer(socket => {
        socket.on('error', () => {}).once('data', () => { socket.end(`HTTP/1.1 ${status} Odd\r\ncontent-length: 3\r\n\r\nodd`) })
      })
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const client = new PlainClient({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, connectTimeoutMs: 500 })
      try {
        const dispatch = { operation: 'x', contentType: 'text/plain', ledgerKey: 'k', body: 'b' } as Partial<Dispatch> as Dispatch
        const termination = await client.run(dispatch, AbortSignal.timeout(2_000), { getRemainingTokens: () => 0, onBytes: () => {} })
        expect(termination.type).toEqual(type)
      } finally {
        await client.close()
        server.close()
      }
    })
  }
})
