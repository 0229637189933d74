import { createServer, type AddressInfo } from 'node:net'
import { expect } from 'earl'
import { StoreClient } from '../../platform/StoreClient.js'
import { StoreError, StoreFailure } from '../../src/core/platform/index.js'
import { RawTargetHarness } from './RawTarget.js'

/** Statuses in status lines that are none of a final response; 199 is one of an interim response. */
const STATUSES = ['000', '0', '099', '1000', '2', 'ABC', '-1', '', '100', '101', '199', '600', '999']

/** Paths of routes of each kind: a lookup, a charge, and two kinds of turns. */
const PATHS = ['/lookup/x', '/booking/x', '/turns/resumable/a', '/turns/kept/a']

const BODY = 'id: 1\ndata: odd\n\n'

function toAnswer (status: string, id: string): string {
  return `HTTP/1.1 ${status} Odd\r\nx-request-id: ${id}\r\nx-response-signature: s\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`
}

// MIXED: an answer with a status such as 600 or 999 was passed on to the caller.
describe('a target whose answer has no valid status', () => {
  let harness: RawTargetHarness

  beforeEach(async () => {
    harness = new RawTargetHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  it('should not be taken for one that has answered, and a request that it has received not be refused as not run', async () => {
    const statuses = new Map<string, string>()
    const received = new Set<string>()
    await harness.startAll((socket, { id }) => {
      received.add(id)
      socket.end(toAnswer(statuses.get(id) ?? '200', id))
    })
    const calls = STATUSES.flatMap((status, at) => PATHS.map(path => {
      const id = `s${at}-${path.slice(1).replaceAll('/', '-')}`
      statuses.set(id, status)
      return { id, path, body: 'x', headers: { 'x-program-id': id, 'x-token-budget': '1000', 'x-token-usage': '10,50' } }
    }))
    const answers = await Promise.all(calls.map(async call => await harness.call(call)))
    // On a busy machine some are not sent in time (503) or not answered in time (504).
    const passedOn = answers.flatMap(({ status, body }, at) => [502, 503, 504].includes(status) ? [] : [[calls[at]!.id, status, body]])
    expect(passedOn).toEqual([])
    expect(answers.flatMap(({ status }, at) => status === 503 && received.has(calls[at]!.id) ? [calls[at]!.id] : [])).toEqual([])
    expect((await harness.call({ id: 'after', path: '/lookup/x' })).status).toEqual(200)
  })
})

// A call whose response has no valid status was taken for one that had not been performed.
describe('a store whose response has no valid status', () => {
  for (const status of ['000', '600', '999']) {
    it(`should be taken for one that did not respond: ${status}`, async () => {
      const server = createServer(socket => { socket.on('error', () => {}).once('data', () => { socket.end(toAnswer(status, 'none')) }) })
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const client = new StoreClient({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
      try {
        const failed = await client.commit({ puts: [] }, { timeoutMs: 1_000 }).then(() => undefined, (err: unknown) => err)
        expect(failed instanceof StoreError && failed.failure).toEqual(StoreFailure.NoResponse)
      } finally {
        await client.close()
        server.close()
      }
    })
  }
})
