import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { AgeClock } from '../../../src/core/clock/index.js'
import { decodePeer, encodePeer, getPeerKey, PeerRanking, PEER_TABLE } from '../../../src/core/peer/index.js'
import { QuotaHolder, QuotaHolders } from '../../../src/core/quota/index.js'
import { GatewayMetrics, QuotaGate, type QuotaAdmission } from '../../../src/io/gateway/index.js'
import { PeerDirectory, PeerPool, PeerServer, QuotaPeers } from '../../../src/io/peer/index.js'
import { DecisionLog, SteadyClock, SystemClock } from '../../../src/io/process/index.js'
import { MemoryRowStore } from '../../../tools/platform/MemoryRowStore.js'

const REGIONS = { a: 'north', b: 'north', c: 'south' }
const SHOP = { name: 'shop', quota: { perSecond: 20, burst: 4 } }

describe('QuotaGate, over peers', () => {
  let store: MemoryRowStore
  let gateways: Array<{ gate: QuotaGate, server: PeerServer, metrics: GatewayMetrics, lines: string[] }>

  beforeEach(async () => {
    store = new MemoryRowStore()
    gateways = []
    // The gateways have registered long ago.
    const ids = ['a', 'b', 'c']
    const toValue = (id: string): Buffer => encodePeer({ id, address: '127.0.0.1:9', failureDomain: id, firstSeenAt: 5 })
    await store.commit({ puts: ids.map(id => ({ ...getPeerKey(id), value: toValue(id) })) })
    for (const id of ids) await start(id)
    // Each reads the list again after a second.
    await sleep(1_300)
  })
  afterEach(() => { for (const { server } of gateways) server.close() })

  const start = async (id: string): Promise<void> => {
    const clock = new SteadyClock()
    const ages = new AgeClock(clock, new SystemClock())
    const lines: string[] = []
    const log = new DecisionLog({ process: 'test', id, isSilent: true })
    log.info = event => { lines.push(event) }
    const pool = new PeerPool({ clock, log })
    const holders = new QuotaHolders({ clock, ages, localId: id, localDomain: id, regions: REGIONS })
    const quotas = new QuotaPeers({ pool, localId: id, holder: new QuotaHolder({ clock, holders }) })
    const metrics = new GatewayMetrics()
    const request = quotas.request.bind(quotas)
    const gate = new QuotaGate({ clock, ages, log, metrics, holders, request, random: () => 0.5 })
    const server = new PeerServer({ quotas } as unknown as ConstructorParameters<typeof PeerServer>[0])
    const address = await server.listen('127.0.0.1:0')
    const ranking = new PeerRanking({ localId: id, localDomain: id, regions: REGIONS, random: () => 0 })
    const onPeers = async (peers: Parameters<PeerPool['setPeers']>[0]): Promise<void> => { pool.setPeers(peers) }
    const directory = new PeerDirectory({ store, clock, log, ranking, ages, quotaHolders: holders, onRegistered: async () => {}, onPeers })
    void directory.run({ id, address, failureDomain: id })
    gateways.push({ gate, server, metrics, lines })
  }
  const send = async (index: number): Promise<QuotaAdmission> => await gateways[index]!.gate.admit(SHOP, 1)

  it('should share a quota among all gateways, whichever of them the requests reach', async () => {
    const startedAt = performance.now()
    const types: string[] = []
    for (let round = 0; round < 10; round++) {
      const admissions = await Promise.all(Array.from({ length: 12 }, async (_, index) => await send(index % 3)))
      types.push(...admissions.map(({ type }) => type))
      await sleep(100)
    }
    const seconds = (performance.now() - startedAt + 500) / 1_000
    const admitted = types.filter(type => type === 'admitted').length
    expect(admitted).toBeLessThanOrEqual(seconds * SHOP.quota.perSecond + SHOP.quota.burst + 3 * 2)
    expect(admitted).toBeGreaterThan(SHOP.quota.perSecond)
    expect(types.includes('unavailable')).toEqual(false)
    expect(gateways.map(({ lines }) => lines.filter(line => line === 'quota-exceeded').length)).toEqual([1, 1, 1])
    expect(await gateways[0]!.metrics.registry.metrics()).toInclude('wisteria_quota_requests_total{outcome="exceeded"}')
  })

  // Requests were refused while the holders that were left had tokens.
  it('should admit requests by the shares of the other gateways while one is down', async () => {
    gateways[2]!.server.close()
    const types: string[] = []
    for (let round = 0; round < 10; round++) {
      types.push((await send(round % 2)).type)
      await sleep(80)
    }
    expect(types.every(type => type === 'admitted')).toEqual(true)
  })

  it('should say that no holder is reached, and when to return, if the list is not known', async () => {
    store.failure = 'refused'
    await start('d')
    const admission = await send(3)
    expect(admission).toEqual({ type: 'unavailable', retryAfterSeconds: 0.2 * 1.5 })
    store.failure = undefined
  })

  it('should keep the time of the first registration over restarts, and register it for a new gateway', async () => {
    await start('d')
    await sleep(1_300)
    const { rows } = await store.read({ table: PEER_TABLE, part: '' }, { timeoutMs: 500 })
    const times = rows.map(row => decodePeer(row)!.firstSeenAt!)
    expect(times.slice(0, 3)).toEqual([5, 5, 5])
    expect(Math.abs(times[3]! - store.getTimeMs())).toBeLessThan(2_000)
  })
})
