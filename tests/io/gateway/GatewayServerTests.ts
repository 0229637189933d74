import { expect } from 'earl'
import { ByteBudget } from '../../../src/core/limits/index.js'
import { ConfigHolder, RouteKind, type Route } from '../../../src/core/route/index.js'
import { GatewayMetrics, GatewayServer, type PlainForwarder, type StreamForwarder } from '../../../src/io/gateway/index.js'
import { DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { PlatformProtocol } from '../../../platform/PlatformProtocol.js'
import { callPlatform } from '../../../tools/platform/PlatformCaller.js'
import { FIXTURE_HOST } from '../../../tools/platform/PlatformFixture.js'

describe('GatewayServer', () => {
  // The connection was closed without an answer.
  it('should answer a request whose forwarding fails unexpectedly, without a statement that it has not run', async () => {
    const clock = new SteadyClock()
    const configs = new ConfigHolder()
    const route: Route = {
      name: 'lookup',
      host: FIXTURE_HOST,
      pathPrefix: '/lookup/',
      kind: RouteKind.Idempotent,
      backends: [],
      timeoutMs: 1_000,
      objectiveMs: 100,
      priority: 0,
      maxAttempts: 1,
      isRetained: false,
      retentionMs: 0,
      isResumable: false,
      maxGapMs: 100
    }
    const limits = { headerBytes: 4_096, bodyBytes: 4_096, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
    configs.applyIfNewer({ version: 1, routes: [route], services: new Map(), limits }, clock.now())
    const log = new DecisionLog({ process: 'test', id: 'test', isSilent: true, onDropped: () => {} })
    const memory = new ByteBudget({ maxBytes: 1_000_000 })
    const metrics = new GatewayMetrics()
    const context = { clock, log, metrics, protocol: new PlatformProtocol(), configs, memory, closesAfter: () => false }
    const forward = async (): Promise<void> => { throw new Error('unexpected') }
    const [plain, streams] = [{ forward } as unknown as PlainForwarder, { forward } as unknown as StreamForwarder]
    const server = new GatewayServer({ context, plain, streams })
    const address = await server.listen('127.0.0.1:0')
    const response = await callPlatform(address, { id: 'r1', path: '/lookup/x' })
    server.stopListening()
    expect([response.status, JSON.parse(response.body).outcome]).toEqual([502, 'unknown'])
  })
})
