import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { post, type Fleet } from '../fleet/Fleet.js'
import { readUsage } from '../fleet/ProcessUsage.js'
import { startWorkshop, WORKSHOP_KEY } from '../fleet/workshop.js'
import { CountingRelay } from './CountingRelay.js'
import type { Point, Slope } from './Slope.js'

/** Milliseconds for which an idle fleet is measured. */
const IDLE_MEASUREMENT_MS = 10_000

const agent = new Agent({ connections: 512, headersTimeout: 0, bodyTimeout: 0 })

/** Resources used by a load. */
interface Cost {
  readonly seconds: number
  readonly entryCpuMs: number
  readonly sidecarCpuMs: number
  readonly reads: number
  readonly commits: number
}

async function send (url: string, body: unknown, headers: Record<string, string> = {}): Promise<number> {
  const res = await request(url, { method: 'POST', dispatcher: agent, headers: { authorization: `Bearer ${WORKSHOP_KEY}`, ...headers }, body: JSON.stringify(body) })
  let events = 0
  for await (const chunk of res.body as AsyncIterable<Buffer>) events += chunk.toString('latin1').split('data: ').length - 1
  if (res.statusCode >= 300) throw new Error(`POST ${url} returned status ${res.statusCode}.`)
  return events
}

/** Runs a load and measures the processor time of the entry and of one sidecar, and the operations of the store. */
async function measureCost (fleet: Fleet, sidecar: string, load: () => Promise<unknown>): Promise<Cost> {
  const countsUrl = `${fleet.get('platform').url}/admin/counts`
  const countsBefore = await post(countsUrl, {}) as { reads: number, commits: number }
  const usageBefore = [fleet.get('entry-1').pid, fleet.get(sidecar).pid].map(readUsage)
  const startedAt = performance.now()
  await load()
  const seconds = (performance.now() - startedAt) / 1_000
  const usageAfter = [fleet.get('entry-1').pid, fleet.get(sidecar).pid].map(readUsage)
  const countsAfter = await post(countsUrl, {}) as { reads: number, commits: number }
  return {
    seconds,
    entryCpuMs: usageAfter[0]!.cpuMs - usageBefore[0]!.cpuMs,
    sidecarCpuMs: usageAfter[1]!.cpuMs - usageBefore[1]!.cpuMs,
    reads: countsAfter.reads - countsBefore.reads,
    commits: countsAfter.commits - countsBefore.commits
  }
}

/** Runs a number of tasks with limited concurrency. */
async function runAll (count: number, concurrency: number, task: (index: number) => Promise<unknown>): Promise<void> {
  let next = 0
  await Promise.all([...Array(concurrency).keys()].map(async () => {
    while (next < count) await task(next++)
  }))
}

/** Creates the body of a streamed completion that generates a number of tokens. */
function createStreamBody (tokens: number): unknown {
  return { model: 'guidance', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: `x [tokens=${tokens}]` }] }
}

/** Runs concurrent streams and measures their cost and the number of events received. */
async function measureStreaming (fleet: Fleet, streams: number, body: unknown): Promise<{ cost: Cost, events: number }> {
  const url = `${fleet.get('entry-1').url}/v1/chat/completions`
  let events = 0
  const cost = await measureCost(fleet, 'ratgeber-1', async () => {
    await runAll(streams, streams, async () => {
      // `events += await …` would read the sum before the wait and lose the events of concurrent streams.
      const received = await send(url, body)
      events += received
    })
  })
  return { cost, events }
}

/** Measures the relay of token events at an entry with engines that generate without a delay. */
async function measureRelay (): Promise<Slope[]> {
  const fleet = await startWorkshop({ engines: 3, desks: 1, entries: 1, engineArgs: ['--ms-per-token', '0', '--slots', '200'], slots: 200, maxQueued: 1_000 })
  try {
    const url = `${fleet.get('entry-1').url}/v1/chat/completions`
    await runAll(60, 20, async () => await send(url, createStreamBody(200)))
    const cpu: Point[] = []
    const rate: Point[] = []
    for (const streams of [30, 90, 180]) {
      const { cost, events } = await measureStreaming(fleet, streams, createStreamBody(2_000))
      cpu.push({ size: events, value: cost.entryCpuMs })
      rate.push({ size: streams, value: events / cost.seconds })
    }
    return [
      { name: 'relay at the entry', sizeUnit: 'token event', valueUnit: 'ms CPU', points: cpu },
      { name: 'token events a second, as fast as the stand-ins go', sizeUnit: 'stream', valueUnit: 'events/s', points: rate }
    ]
  } finally {
    await fleet.stop()
  }
}

/** Measures the relay at the users' rate of 48 ms a token, with one event per chunk. */
async function measurePacedRelay (): Promise<Slope[]> {
  const engineArgs = ['--ms-per-token', '48', '--slots', '500']
  const fleet = await startWorkshop({ engines: 3, desks: 1, entries: 1, engineArgs, slots: 500, maxQueued: 1_000 })
  try {
    const url = `${fleet.get('entry-1').url}/v1/chat/completions`
    await runAll(100, 100, async () => await send(url, createStreamBody(40)))
    const entry: Point[] = []
    const sidecar: Point[] = []
    for (const streams of [60, 120, 240]) {
      const { cost, events } = await measureStreaming(fleet, streams, createStreamBody(200))
      entry.push({ size: events, value: cost.entryCpuMs })
      sidecar.push({ size: events / 3, value: cost.sidecarCpuMs })
    }
    return [
      { name: 'relay at the entry, 48 ms a token', sizeUnit: 'token event', valueUnit: 'ms CPU', points: entry },
      { name: 'relay at a sidecar, 48 ms a token', sizeUnit: 'token event', valueUnit: 'ms CPU', points: sidecar }
    ]
  } finally {
    await fleet.stop()
  }
}

/** Measures the memory of an entry by the number of open streams. */
async function measureStreams (): Promise<Slope[]> {
  const fleet = await startWorkshop({ engines: 3, desks: 1, entries: 1, engineArgs: ['--ms-per-token', '250', '--slots', '500'], slots: 500 })
  try {
    const url = `${fleet.get('entry-1').url}/v1/chat/completions`
    const points: Point[] = []
    const running: Array<Promise<number>> = []
    for (const size of [100, 300, 500]) {
      while (running.length < size) running.push(send(url, createStreamBody(60)))
      await sleep(2_500)
      points.push({ size, value: readUsage(fleet.get('entry-1').pid).rssKb })
    }
    await Promise.all(running)
    return [{ name: 'memory of the entry', sizeUnit: 'open stream', valueUnit: 'kB', points }]
  } finally {
    await fleet.stop()
  }
}

/** Measures lookups and bookings with an idempotency key. */
async function measureCalls (): Promise<Slope[]> {
  const fleet = await startWorkshop({ engines: 2, desks: 1, entries: 1, engineArgs: ['--ms-per-token', '0'], slots: 64, maxQueued: 1_000 })
  try {
    const entry = fleet.get('entry-1').url
    const lookups: Point[] = []
    const bookings: Point[] = []
    const sidecar: Point[] = []
    const commits: Point[] = []
    let key = 0
    await runAll(300, 10, async () => await send(`${entry}/v1/services/kanzlei/parts-lookup`, {}))
    for (const size of [500, 1_000, 2_000]) {
      const lookup = await measureCost(fleet, 'kanzlei-1', async () => {
        await runAll(size, 32, async () => await send(`${entry}/v1/services/kanzlei/parts-lookup`, {}))
      })
      lookups.push({ size, value: lookup.entryCpuMs })
      sidecar.push({ size, value: lookup.sidecarCpuMs })
      const booking = await measureCost(fleet, 'kanzlei-1', async () => {
        await runAll(size, 32, async () => await send(`${entry}/v1/services/kanzlei/booking`, {}, { 'idempotency-key': `k-${key++}` }))
      })
      bookings.push({ size, value: booking.entryCpuMs })
    }
    for (const size of [1, 8, 32, 128]) {
      const booking = await measureCost(fleet, 'kanzlei-1', async () => {
        await runAll(600, size, async () => await send(`${entry}/v1/services/kanzlei/booking`, {}, { 'idempotency-key': `k-${key++}` }))
      })
      commits.push({ size, value: booking.commits / 600 })
    }
    return [
      { name: 'lookup at the entry', sizeUnit: 'call', valueUnit: 'ms CPU', points: lookups },
      { name: 'lookup at the sidecar', sizeUnit: 'call', valueUnit: 'ms CPU', points: sidecar },
      { name: 'booking with a key at the entry', sizeUnit: 'call', valueUnit: 'ms CPU', points: bookings },
      { name: 'store writes of one booking', sizeUnit: 'booking at once', valueUnit: 'writes', points: commits }
    ]
  } finally {
    await fleet.stop()
  }
}

/** Measures heartbeats: processor time and bytes by the number of watched targets. */
async function measureHeartbeats (): Promise<Slope[]> {
  const cpu: Point[] = []
  const bytes: Point[] = []
  const idle: Point[] = []
  const memory: Point[] = []
  for (const engines of [2, 6, 12]) {
    const relays: CountingRelay[] = []
    const fleet = await startWorkshop({
      engines,
      desks: 1,
      entries: 1,
      beforePublish: async starting => {
        for (let index = 1; index <= engines; index++) {
          const relay = await CountingRelay.start(starting.get(`ratgeber-${index}`).url)
          relays.push(relay)
          starting.setAddress(`ratgeber-${index}`, relay.url)
        }
      }
    })
    try {
      // Waits until the heartbeats have reached their regular interval.
      await sleep(2_000)
      const bytesBefore = relays.reduce((sum, relay) => sum + relay.bytes, 0)
      const cost = await measureCost(fleet, 'ratgeber-1', async () => { await sleep(IDLE_MEASUREMENT_MS) })
      const bytesAfter = relays.reduce((sum, relay) => sum + relay.bytes, 0)
      cpu.push({ size: engines + 1, value: cost.entryCpuMs / cost.seconds })
      bytes.push({ size: engines, value: (bytesAfter - bytesBefore) / cost.seconds })
      idle.push({ size: engines, value: cost.sidecarCpuMs / cost.seconds })
      memory.push({ size: engines, value: readUsage(fleet.get('ratgeber-1').pid).rssKb })
    } finally {
      for (const relay of relays) relay.stop()
      await fleet.stop()
    }
  }
  return [
    { name: 'control of the entry', sizeUnit: 'target watched at 1 heartbeat/s', valueUnit: 'ms CPU a second', points: cpu },
    { name: 'control bytes of the entry', sizeUnit: 'target watched at 1 heartbeat/s', valueUnit: 'bytes a second', points: bytes },
    { name: 'idle sidecar', sizeUnit: 'engine of the service', valueUnit: 'ms CPU a second', points: idle },
    { name: 'memory of an idle sidecar', sizeUnit: 'engine of the service', valueUnit: 'kB', points: memory }
  ]
}

/** Measurements by their names on the command line. */
const MEASUREMENTS = {
  relay: measureRelay,
  paced: measurePacedRelay,
  calls: measureCalls,
  streams: measureStreams,
  heartbeats: measureHeartbeats
} as const

/** Measures the slopes of a fleet of processes; an empty name selects all measurements. */
export async function measureFleetSlopes (only: string): Promise<Slope[]> {
  const slopes: Slope[] = []
  try {
    for (const [name, measure] of Object.entries(MEASUREMENTS)) {
      if (only === '' || only === name) slopes.push(...await measure())
    }
    return slopes
  } finally {
    await agent.destroy()
  }
}
