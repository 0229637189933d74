import { expect } from 'earl'
import fc from 'fast-check'
import type { StreamOrigin } from '../../../src/core/origin/index.js'
import { OriginStore, StoreAccess } from '../../../src/io/gateway/index.js'
import { DecisionLog, SteadyClock } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const GATEWAYS = 3
const VERSIONS = ['v1', 'v2', 'v3']
const RETENTION_MS = 10_000

/** Milliseconds for one look-up; short, so that look-ups in an outage don't slow the test down. */
const FIND_MS = 30

/** Milliseconds within which the gateways write all rows; far more than a store in memory needs. */
const WRITE_MS = 1_000

/** Seed of the cases; a failure prints the case in its shortest form. */
const SEED = 25

const gateway = fc.nat(GATEWAYS - 1)
const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('begin' as const), gateway, version: fc.constantFrom(...VERSIONS) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('continue' as const), gateway, stream: fc.nat(20) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('kill' as const), gateway }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('kill-all' as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('store' as const), failure: fc.constantFrom(undefined, undefined, 'refused', 'answer-lost') }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('partition' as const), part: fc.constantFrom('origins-0', 'origins-1'), isFailed: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('pause' as const) }) }
)
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

describe('OriginStore under faults', function () {
  this.timeout(60_000)

  it('should never find another origin than the one of the stream, whatever fails', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async steps => {
      await new Deployment().run(steps)
    }), { seed: SEED, numRuns: 60 })
  })

  it('should write the row of every stream within a second, and find it at gateways that know nothing', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async steps => {
      const deployment = new Deployment()
      await deployment.run(steps.filter(({ type }) => type !== 'store' && type !== 'partition'))
      await deployment.expectAllFound()
    }), { seed: SEED, numRuns: 30 })
  })
})

/** Some gateways with one store, and the streams that they began. */
class Deployment {
  private readonly _rows = new MemoryRowStore()
  private readonly _gateways: OriginStore[] = []
  private readonly _streams: Array<{ readonly id: string, readonly origin: StreamOrigin }> = []

  constructor () {
    for (let at = 0; at < GATEWAYS; at++) this._start(at)
  }

  async run (steps: readonly Step[]): Promise<void> {
    for (const step of steps) await this._apply(step)
  }

  async expectAllFound (): Promise<void> {
    const deadline = performance.now() + WRITE_MS
    while (this._rows.getTableSize('stream-origins') < this._streams.length && performance.now() < deadline) await pause()
    for (let at = 0; at < GATEWAYS; at++) this._start(at)
    const found = await Promise.all(this._streams.map(async ({ id }) => await this._find(0, id)))
    expect(found).toEqual(this._streams.map(({ origin }) => origin))
  }

  private async _apply (step: Step): Promise<void> {
    if (step.type === 'begin') {
      const id = `r-${this._streams.length}`
      const origin = { service: 'model', softwareVersion: step.version }
      this._streams.push({ id, origin })
      this._gateways[step.gateway]!.record(id, origin, RETENTION_MS)
    } else if (step.type === 'continue') {
      const stream = this._streams[step.stream]
      if (stream === undefined) return
      const found = await this._find(step.gateway, stream.id)
      if (found !== undefined) expect(found).toEqual(stream.origin)
    } else if (step.type === 'kill') this._start(step.gateway)
    else if (step.type === 'kill-all') for (let at = 0; at < GATEWAYS; at++) this._start(at)
    else if (step.type === 'store') this._rows.failure = step.failure
    else if (step.type === 'pause') await pause()
    else if (step.isFailed) this._rows.failedPartitions.set(step.part, 'refused')
    else this._rows.failedPartitions.delete(step.part)
  }

  private async _find (at: number, stream: string): Promise<StreamOrigin | undefined> {
    const found = await this._gateways[at]!.find(stream, RETENTION_MS, performance.now() + FIND_MS)
    return found.map<StreamOrigin | undefined>(origin => origin).orDefault(undefined)
  }

  /** Starts a gateway that knows nothing, in place of the previous one. */
  private _start (at: number): void {
    const clock = new SteadyClock()
    const log = new DecisionLog({ process: 'test', id: `gateway-${at}`, isSilent: true })
    const access = new StoreAccess({ store: this._rows, clock, log, onRetry: () => {}, onUnavailable: () => {}, onAvailable: () => {} })
    const fetch = async (stream: string): Promise<StreamOrigin | undefined> => {
      return this._gateways.map(peer => peer.getRemembered(stream)).find(origin => origin !== undefined)
    }
    const callbacks = { onLookup: () => {}, onWritten: () => {} }
    this._gateways[at] = new OriginStore({ access, clock, log, peers: { fetch }, writesPerSecond: 10_000, ...callbacks })
  }
}

/** Lets the gateways write what waits. */
async function pause (): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, 5) })
}
