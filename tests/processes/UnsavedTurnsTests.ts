import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { FaultProxy } from '../../tools/soak/FaultProxy.js'
import { GatewayHarness, waitFor } from './GatewayHarness.js'
import { getOwnBytes, measurePeakBytes } from './ProcessUsage.js'

/** Memory of the machine as the settings of the gateway state it, and in bytes. */
const MACHINE_MB = 210
const MACHINE_BYTES = MACHINE_MB * 1e6

const CALLERS = 120
const INPUT_BYTES = 220_000

/** Milliseconds between two requests of a caller at least. */
const PAUSE_MS = 250

/** Milliseconds of each outage, and of service before it. */
const OUTAGE_MS = 4_500
const SERVICE_MS = 4_000
const OUTAGES = 2

// review/8: each try to save a turn copied and encoded it, and gateways exceeded the memory of their machines.
describe('a gateway with many large turns that cannot be saved', () => {
  const harness = new GatewayHarness()
  let store: FaultProxy

  before(async () => {
    const { fixture } = harness
    fixture.maxBodyBytes = 4_194_304
    await fixture.start()
    fixture.configure({ timeoutMs: 5_000 }, [], { slots: 48 })
    for (const engine of fixture.engines) {
      engine.events = Array.from({ length: 11 }, (_, at) => `event ${at}`)
      engine.eventGapMs = 90
    }
    store = new FaultProxy(fixture.storeAddress)
    const storeAddress = await store.start()
    await harness.startGateway({ storeAddress, extraSettings: ['[limits]', `memory_mb = ${MACHINE_MB}`] })
  })

  after(async () => {
    await harness.stop()
    store.close()
  })

  it('should stay within the memory of its machine, serve other requests, and save turns afterwards', async () => {
    const { gateway } = harness
    const input = 'x'.repeat(INPUT_BYTES)
    const plain: number[] = []
    const over = new AbortController()
    const runCaller = async (caller: number): Promise<void> => {
      await sleep(caller * 20)
      for (let turn = 0; !over.signal.aborted; turn++) {
        const { headers } = await harness.sendTurn(`t${caller}-${turn}`, { 'x-program-id': `p${caller}-${turn}` }, input)
        await sleep(Math.max(PAUSE_MS, 1_000 * Number(headers['retry-after'] ?? 0)))
      }
    }
    const runPlainCaller = async (): Promise<void> => {
      for (let call = 0; !over.signal.aborted; call++) {
        plain.push((await harness.call({ id: `l${call}`, path: '/lookup/a', body: 'x' })).status)
        await sleep(100)
      }
    }
    const peakBytes = await measurePeakBytes(gateway.pid, async () => {
      const callers = Promise.all([runPlainCaller(), ...Array.from({ length: CALLERS }, async (_, caller) => { await runCaller(caller) })])
      for (let outage = 0; outage < OUTAGES; outage++) {
        await sleep(SERVICE_MS)
        store.setMode('silent')
        await sleep(OUTAGE_MS)
        store.setMode('open')
      }
      over.abort()
      await callers
    }, getOwnBytes)
    const context = `${Math.round(peakBytes / 1e6)} MB`
    expect({ context, isBounded: peakBytes <= MACHINE_BYTES }).toEqual({ context, isBounded: true })
    expect(plain.filter(status => status !== 200)).toEqual([])
    expect(gateway.getEvents('turn-not-saved').length > 0).toEqual(true)
    await waitFor(() => gateway.getEvents('store-back').length === OUTAGES)
    expect((await harness.sendTurn('later', { 'x-program-id': 'later' }, input)).isComplete).toEqual(true)
    expect((await harness.sendTurn('next', { 'x-program-id': 'later', 'x-previous-turn': 'later' }, 'x')).isComplete).toEqual(true)
  })
})
