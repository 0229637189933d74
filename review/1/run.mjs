// A gateway is frozen for four seconds while some consumers send their requests.
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, Channel, toBytes } from '../harness/client.mjs'
import { getConfig } from '../harness/config.mjs'
import { answer, Engine } from '../harness/engine.mjs'
import { cleanUp, Gateway } from '../harness/gateway.mjs'
import { Recorder } from '../harness/recorder.mjs'
import { Store } from '../harness/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const FREEZE_MS = 4_000
const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)))
const store = new Store()
let exitCode = 2
try {
  await store.start()
  store.put('op', 'config', getConfig())
  const engines = ['d1', 'd2', 'd3'].map(id => new Engine({ id, service: 'desk', slots: 6, store, recorder, run: (req, res, call) => answer(res, call, 100) }))
  for (const engine of engines) await engine.start()
  const gateway = await Gateway.create('edge-1', store.address)
  await gateway.start()
  await sleep(1_500)
  const answers = []
  // Each consumer sends the head of its request in two parts, 600 ms apart: a fifth of headerTimeoutMs.
  const send = async at => {
    const id = `charge-${at}`
    const bytes = toBytes({ path: '/charge/x', headers: { 'X-Request-Id': id, 'X-Timeout-Ms': '6000' }, body: `fee ${at}` })
    const channel = await new Channel(gateway.callers).open()
    const cut = 20 + at
    channel.write(bytes.slice(0, cut))
    recorder.line(`consumer sends the first part of ${id}`)
    await sleep(600)
    channel.write(bytes.slice(cut))
    recorder.line(`consumer sends the rest of ${id}`)
    const response = await channel.read()
    recorder.line(`consumer gets ${response.status} for ${id}${response.isComplete ? '' : ' (incomplete)'}`)
    answers.push({ id, ...response })
    // A sound consumer retries after the promise that the request has not run, on a new channel and with a new id.
    if ([408, 421, 429, 503].includes(response.status)) {
      const again = await call(gateway.callers, { path: '/charge/x', headers: { 'X-Request-Id': `${id}-again`, 'X-Timeout-Ms': '6000' }, body: `fee ${at}` })
      recorder.line(`consumer gets ${again.status} for ${id}-again`)
    }
    await sleep(500)
    channel.close()
  }
  const calls = []
  for (let at = 0; at < 8; at++) {
    calls.push(send(at))
    await sleep(25)
  }
  await sleep(150)
  if (hasTrouble) {
    gateway.signal('SIGSTOP')
    recorder.line('gateway frozen')
    await sleep(FREEZE_MS)
    gateway.signal('SIGCONT')
    recorder.line('gateway continues')
  }
  await Promise.race([Promise.all(calls), sleep(12_000)])
  await sleep(1_000)
  const ran = new Set(engines.flatMap(engine => engine.runs.map(run => run.id)))
  const broken = answers.filter(({ id, status }) => [408, 421, 429, 503].includes(status) && ran.has(id))
  for (const { id, status } of broken) recorder.line(`REFUSED broken: ${id} was answered ${status}, and has run`)
  const fees = engines.flatMap(engine => engine.runs.map(run => run.body.toString()))
  recorder.line(`fees that were charged twice: ${new Set(fees.filter((fee, at) => fees.indexOf(fee) !== at)).size}`)
  recorder.line(`answered ${answers.length} of ${calls.length}, ran ${ran.size}, refused and run ${broken.length}`)
  exitCode = broken.length > 0 ? 1 : answers.length === calls.length ? 0 : 2
} catch (err) {
  recorder.line(`could not run: ${err.stack}`)
} finally {
  await cleanUp()
  store.close()
  recorder.save()
}
process.exit(exitCode)
