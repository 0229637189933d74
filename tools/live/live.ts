/** Runs a few hundred sessions through real processes and prints their latencies and processor time; see docs/MEASUREMENTS.md. */
import { build } from 'hdr-histogram-js'
import { Caller } from '../fleet/Caller.js'
import type { Fleet } from '../fleet/Fleet.js'
import { readUsage } from '../fleet/ProcessUsage.js'
import { startWorkshop, WORKSHOP_KEY } from '../fleet/workshop.js'

const SESSIONS = 300
const CONCURRENT_SESSIONS = 40
const TURNS = 3
const TOKENS = 20
const ENGINES = 6
const DESKS = 3

const sessions = build({ numberOfSignificantValueDigits: 3 })
const bookings = build({ numberOfSignificantValueDigits: 3 })
const failures: string[] = []

/** Runs one session: a model call and a booking in each turn. */
async function runSession (caller: Caller): Promise<void> {
  const startedAt = performance.now()
  const opened = await caller.send('POST', '/v1/sessions', { program: 'guidance' })
  const id = String(opened.json?.id)
  for (let turn = 1; turn <= TURNS; turn++) {
    const response = await caller.stream(`/v1/sessions/${id}/calls/${2 * turn - 1}`, {
      type: 'model', messages: [{ role: 'user', content: `Turn ${turn} [tokens=${TOKENS}]` }], max_tokens: TOKENS + 1
    })
    if (!response.isComplete || response.text.split(' ').length !== TOKENS) failures.push(`model: ${JSON.stringify(response)}`)
    const bookedAt = performance.now()
    const booked = await caller.send('POST', `/v1/sessions/${id}/calls/${2 * turn}`, { type: 'service', service: 'kanzlei', operation: 'booking', body: { turn } })
    bookings.recordValue(performance.now() - bookedAt)
    if (booked.status !== 200) failures.push(`booking: ${booked.text}`)
  }
  await caller.send('POST', `/v1/sessions/${id}/close`)
  sessions.recordValue(performance.now() - startedAt)
}

/** Gets the total processor time and the largest memory of the processes of a role. */
function sumUsage (fleet: Fleet, ids: readonly string[]): { cpuMs: number, largestKb: number } {
  const usages = ids.map(id => readUsage(fleet.get(id).pid))
  return { cpuMs: usages.reduce((sum, usage) => sum + usage.cpuMs, 0), largestKb: Math.max(...usages.map(usage => usage.rssKb)) }
}

const fleet = await startWorkshop({ engines: ENGINES, desks: DESKS, engineArgs: ['--ms-per-token', '8'] })
try {
  const roles = {
    entry: ['entry-1', 'entry-2'],
    'sidecar of an engine': [...Array(ENGINES).keys()].map(index => `ratgeber-${index + 1}`),
    'sidecar of a desk': [...Array(DESKS).keys()].map(index => `kanzlei-${index + 1}`)
  }
  const callers = ['entry-1', 'entry-2'].map(id => new Caller(fleet.get(id).url, WORKSHOP_KEY))
  const before = Object.values(roles).map(ids => sumUsage(fleet, ids).cpuMs)
  const startedAt = performance.now()
  let next = 0
  await Promise.all([...Array(CONCURRENT_SESSIONS).keys()].map(async () => {
    while (next < SESSIONS) await runSession(callers[next++ % callers.length]!)
  }))
  const seconds = (performance.now() - startedAt) / 1_000
  const calls = SESSIONS * TURNS * 2
  process.stdout.write(`${SESSIONS} sessions of ${2 * TURNS} calls, ${CONCURRENT_SESSIONS} at once, in ${seconds.toFixed(1)} s: ${(calls / seconds).toFixed(0)} calls a second\n`)
  process.stdout.write(`session p50 ${sessions.getValueAtPercentile(50)} ms, p95 ${sessions.getValueAtPercentile(95)} ms; ` +
    `booking p50 ${bookings.getValueAtPercentile(50)} ms, p95 ${bookings.getValueAtPercentile(95)} ms\n`)
  Object.entries(roles).forEach(([role, ids], index) => {
    const usage = sumUsage(fleet, ids)
    const cpu = (usage.cpuMs - before[index]!) / calls
    process.stdout.write(`${role}: ${cpu.toFixed(2)} ms CPU a call of the session load, largest process ${Math.round(usage.largestKb / 1024)} MB\n`)
  })
  process.stdout.write(`${failures.length} failures${failures.length === 0 ? '' : `, the first: ${failures[0]!}`}\n`)
  process.exitCode = failures.length === 0 ? 0 : 1
} finally {
  await fleet.stop()
}
