// A gateway gets SIGTERM while a consumer's turn is under way; on the same channel the consumer then sends a charge.
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Channel } from '../harness/client.mjs'
import { getConfig } from '../harness/config.mjs'
import { answer, Engine, stream } from '../harness/engine.mjs'
import { BOUNDS, cleanUp, Gateway } from '../harness/gateway.mjs'
import { Recorder } from '../harness/recorder.mjs'
import { Store } from '../harness/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
/** Milliseconds of work of a charge; its time limit and the time-out of its route are 6,000 ms. */
const WORK_MS = 3_600
const CONSUMERS = 6

/** Milliseconds between the turns of two consumers. */
const PAUSE_MS = 80
const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)))
const store = new Store()
let exitCode = 2
try {
  await store.start()
  store.put('op', 'config', getConfig())
  const model = new Engine({ id: 'm1', service: 'models', store, run: async (req, res, turn) => await stream(res, turn, { events: 11, gapMs: 400, firstMs: 100 }) })
  const desks = ['d1', 'd2', 'd3'].map(id => new Engine({
    id, service: 'desk', slots: 6, store, recorder, run: async (req, res, charge) => { charge.isAnswered = await answer(res, charge, WORK_MS) }
  }))
  for (const engine of [model, ...desks]) await engine.start()
  const gateway = await Gateway.create('edge-1', store.address)
  await gateway.start()
  await sleep(2_000)
  let stoppedAt = Infinity
  const consume = async at => {
    const channel = await new Channel(gateway.callers).open()
    const program = { 'X-Program-Id': `p${at}`, 'X-Session-Id': `p${at}`, 'X-Program-Deadline-Ms': '20000' }
    channel.send({ path: '/guide/x', headers: { 'X-Request-Id': `turn-${at}`, 'X-Timeout-Ms': '5000', 'X-Token-Budget': '1000', 'X-Token-Usage': '100,60', ...program }, body: `question ${at}` })
    recorder.line(`consumer ${at} sends a turn`)
    const turn = await channel.read()
    recorder.line(`consumer ${at} has the turn: ${turn.status}, ${turn.isComplete ? 'whole' : 'cut'}, connection: ${turn.headers.connection ?? '-'}, keep-alive: ${turn.headers['keep-alive'] ?? '-'}`)
    await sleep(100)
    if (turn.headers.connection === 'close' || channel.isClosed) return { turn }
    const id = `charge-${at}`
    channel.send({ path: '/charge/x', headers: { 'X-Request-Id': id, 'X-Timeout-Ms': '6000', ...program }, body: `fee ${at}` })
    const sentAt = performance.now()
    recorder.line(`consumer ${at} sends ${id} on the same channel, ${Math.round(sentAt - stoppedAt)} ms after SIGTERM`)
    const charge = await channel.read()
    const tookMs = Math.round(performance.now() - sentAt)
    recorder.line(`consumer ${at} has for ${id}: ${charge.status === 0 ? 'no answer' : charge.status}, ${charge.isComplete ? 'whole' : 'channel closed'} after ${tookMs} ms`)
    return { turn, id, charge, sentAt, tookMs }
  }
  const consumers = Array.from({ length: CONSUMERS }, async (_, at) => { await sleep(PAUSE_MS * at); return await consume(at) })
  await sleep(500)
  if (hasTrouble) {
    gateway.signal('SIGTERM')
    stoppedAt = performance.now()
    recorder.line('SIGTERM')
    void sleep(1_000 * BOUNDS.graceS).then(() => { gateway.signal('SIGKILL') })
    void gateway.exit.then(({ code, signal }) => { recorder.line(`gateway ended ${Math.round(gateway.exitedAt - stoppedAt)} ms after SIGTERM, code ${code}, signal ${signal}`) })
  }
  const results = await Promise.all(consumers)
  const sent = results.filter(result => result.id !== undefined)
  const ran = new Set(desks.flatMap(desk => desk.runs.map(run => run.id)))
  // A charge counts if it was passed on, was sent over 3 s after the SIGTERM, and was cut before the limits of consumer and route.
  const broken = sent.filter(({ id, charge, sentAt, tookMs }) => {
    return ran.has(id) && !charge.isComplete && sentAt - stoppedAt > 3_000 && tookMs < 6_000
  })
  for (const { id, tookMs } of broken) recorder.line(`LOST broken: ${id} was passed on to an engine, and its channel ended without an answer after ${tookMs} ms`)
  recorder.line(`turns ${results.length}, charges ${sent.length}, passed on ${ran.size}, cut ${broken.length}`)
  exitCode = broken.length > 0 ? 1 : results.every(({ turn }) => turn.isComplete) && sent.every(({ charge }) => charge.isComplete) ? 0 : 2
} catch (err) {
  recorder.line(`could not run: ${err.stack}`)
} finally {
  await cleanUp()
  store.close()
  recorder.save()
}
process.exit(exitCode)
