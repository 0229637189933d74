// One of three engines answers turns without end for a while; the platform ends gateways that exceed their memory and starts them again.
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call } from '../harness/client.mjs'
import { getConfig } from '../harness/config.mjs'
import { answer, Engine, getHeaders, stream } from '../harness/engine.mjs'
import { cleanUp, Gateway } from '../harness/gateway.mjs'
import { Recorder } from '../harness/recorder.mjs'
import { Store } from '../harness/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
/** Memory of an edge machine of kuckuck-hilfe; a process that exceeds it is killed. */
const MEMORY_MB = 210
const TROUBLE_MS = 40_000
const RESTART_MS = 500
/** Bytes of one event of the endless answer, and the rate of all such answers together: under half of a link of 1,000 Mbit/s. */
const EVENT_BYTES = 4_096
const BYTES_PER_MS = 60_000
const EVENT = Buffer.from(`data: ${'x'.repeat(EVENT_BYTES - 8)}\n\n`)

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)))
const store = new Store()
let isInTrouble = false
const floods = new Set()
let exitCode = 2

/** Sends events until the caller closes. */
function flood (res, turn) {
  res.writeHead(200, getHeaders(turn, { 'content-type': 'text/event-stream' }))
  floods.add(res)
  res.on('close', () => { floods.delete(res); recorder.line(`the gateway has closed the answer to ${turn.id} after ${Math.round(res.sentBytes / 1e6)} MB`) })
  res.sentBytes = 0
}
setInterval(() => {
  for (const res of floods) {
    const count = Math.floor(10 * BYTES_PER_MS / floods.size / EVENT_BYTES)
    if (res.destroyed || res.writableNeedDrain) continue
    for (let at = 0; at < count; at++) res.write(EVENT)
    res.sentBytes += count * EVENT_BYTES
  }
}, 10)

try {
  await store.start()
  store.put('op', 'config', getConfig())
  const models = ['m1', 'm2', 'm3'].map(id => new Engine({
    id,
    service: 'models',
    store,
    run: async (req, res, turn, engine) => {
      if (engine.id === 'm1' && isInTrouble) {
        recorder.line(`engine m1 answers ${turn.id} without end`)
        flood(res, turn)
      } else await stream(res, turn, { events: 8, gapMs: 40 })
    }
  }))
  const desks = ['d1', 'd2'].map(id => new Engine({ id, service: 'desk', store, run: (req, res, charge) => answer(res, charge, 300) }))
  for (const engine of [...models, ...desks]) await engine.start()
  const gateways = [await Gateway.create('edge-1', store.address), await Gateway.create('edge-2', store.address)]
  await Promise.all(gateways.map(async gateway => { await gateway.start() }))
  await sleep(1_500)
  const state = { isOpen: true }
  const ends = new Map(gateways.map(gateway => [gateway.id, 0]))
  // The platform: ends a process that exceeds its memory, and starts it again after a short delay.
  const supervise = async gateway => {
    let peakMb = 0
    void gateway.exit.then(({ code, signal }) => { if (state.isOpen) recorder.line(`${gateway.id} ended: code ${code}, signal ${signal}`) })
    while (state.isOpen) {
      await sleep(20)
      const mb = gateway.getResidentMb()
      if (mb !== undefined) peakMb = Math.max(peakMb, mb)
      if (mb !== undefined && mb <= MEMORY_MB) continue
      recorder.line(`${gateway.id} uses ${Math.round(mb ?? 0)} MB of ${MEMORY_MB} MB and is ended`)
      gateway.signal('SIGKILL')
      await gateway.exit
      ends.set(gateway.id, ends.get(gateway.id) + 1)
      await sleep(RESTART_MS)
      await gateway.start()
      recorder.line(`${gateway.id} is back`)
    }
    recorder.line(`${gateway.id}: peak of resident memory ${Math.round(peakMb)} MB`)
  }
  const supervisors = gateways.map(supervise)
  const results = { turn: { whole: 0, other: 0 }, charge: { whole: 0, refused: 0, cut: 0 } }
  const calls = []
  let attempts = 0
  const sendTurn = async () => {
    const id = `t${++attempts}`
    const headers = { 'X-Request-Id': id, 'X-Program-Id': id, 'X-Session-Id': id, 'X-Program-Deadline-Ms': '6000', 'X-Token-Budget': '1000', 'X-Token-Usage': '1000,60', 'X-Timeout-Ms': '5000' }
    const response = await call(gateways[Math.floor(2 * Math.random())].callers, { path: '/chat/x', headers, body: `question ${id}` }).catch(() => ({ status: 0 }))
    results.turn[response.status === 200 && response.isComplete ? 'whole' : 'other']++
  }
  const sendCharge = async () => {
    const id = `c${++attempts}`
    const response = await call(gateways[Math.floor(2 * Math.random())].callers, { path: '/charge/x', headers: { 'X-Request-Id': id, 'X-Timeout-Ms': '6000' }, body: `fee ${id}` }).catch(() => undefined)
    if (response === undefined) return
    const ran = desks.some(desk => desk.runs.some(run => run.id === id))
    if (response.isComplete) results.charge[response.status === 200 ? 'whole' : 'refused']++
    else if (ran) {
      results.charge.cut++
      recorder.line(`charge ${id} has run, and its channel ended without an answer`)
    }
  }
  const traffic = (async () => {
    while (state.isOpen) {
      calls.push(sendTurn(), sendCharge())
      await sleep(150)
    }
  })()
  await sleep(2_000)
  isInTrouble = hasTrouble
  recorder.line(hasTrouble ? 'engine m1 begins to answer without end' : 'no trouble')
  await sleep(TROUBLE_MS)
  isInTrouble = false
  for (const res of floods) res.destroy()
  recorder.line('engine m1 is sound')
  await sleep(2_000)
  state.isOpen = false
  await Promise.all(supervisors)
  await traffic
  await Promise.race([Promise.all(calls), sleep(8_000)])
  recorder.line(`ended for their memory: ${[...ends].map(([id, count]) => `${id} ${count} times`).join(', ')}`)
  recorder.line(`turns: ${JSON.stringify(results.turn)}, charges: ${JSON.stringify(results.charge)}`)
  exitCode = [...ends.values()].every(count => count >= 3) ? 1 : results.charge.whole > 50 ? 0 : 2
} catch (err) {
  recorder.line(`could not run: ${err.stack}`)
} finally {
  await cleanUp()
  store.close()
  recorder.save()
}
process.exit(exitCode)
