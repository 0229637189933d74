import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { expect } from 'earl'
import { PlatformProtocol } from '../../../platform/PlatformProtocol.js'
import type { CallRequest } from '../../../src/core/forward/index.js'
import { TargetClient, TargetError } from '../../../src/io/gateway/index.js'
import { RawTarget } from '../../processes/RawTarget.js'

/** Channel on which undici announces its connections. */
const CONNECTED_CHANNEL = 'undici:client:connected'

describe('TargetClient', () => {
  let target: RawTarget
  let client: TargetClient
  let sockets: Socket[]
  const onConnected = (message: unknown): void => { sockets.push((message as { socket: Socket }).socket) }

  beforeEach(() => {
    target = new RawTarget()
    client = new TargetClient(new PlatformProtocol())
    sockets = []
    subscribe(CONNECTED_CHANNEL, onConnected)
  })

  afterEach(async () => {
    unsubscribe(CONNECTED_CHANNEL, onConnected)
    await client.close()
    target.close()
  })

  for (const code of ['EHOSTUNREACH', 'ECONNREFUSED', 'ECONNRESET', 'ETIMEDOUT', 'EPIPE']) {
    it(`should not state that a request did not run which was sent before its connection failed with ${code}`, async () => {
      await target.start(() => { sockets[0]!.destroy(Object.assign(new Error(code), { code })) })
      const err = await send().catch((reason: unknown) => reason)
      expect(err instanceof TargetError && err.isNotRun).toEqual(false)
    })
  }

  it('should state that a request did not run whose target accepts no connection', async () => {
    await target.start(() => {})
    target.close()
    const err = await send().catch((reason: unknown) => reason)
    expect(err instanceof TargetError && err.isNotRun).toEqual(true)
  })

  async function send (): ReturnType<TargetClient['send']> {
    const call = createCall('r1')
    const location = { address: target.address, failureDomain: 'here' }
    const instance = { id: 'i1', bornAt: 1, service: 's', softwareVersion: 'v1', ...location, isLeaving: false, slots: 1 }
    const dispatch = { target: instance, timeoutMs: 1_000 }
    return await client.send({ call, dispatch, body: undefined, signal: new AbortController().signal, isRepeated: false })
  }
})

function createCall (id: string): CallRequest {
  const head = { method: 'GET', url: '/a', rawHeaders: ['host', 'desk.example', 'x-request-id', id] }
  return new PlatformProtocol().decodeRequest(head).unsafeCoerce()
}
