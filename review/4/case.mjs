/** Long answers of an idempotent route; two of five engines break off 1 in 35 of their answers. */
import { setTimeout as sleep } from 'node:timers/promises'
import { send } from '../lib/consumer.mjs'
import { Engine } from '../lib/Engine.mjs'
import { Gateway } from '../lib/Gateway.mjs'
import { IS_TROUBLED, runCase, toConfig } from '../lib/run.mjs'
import { Store } from '../lib/Store.mjs'

/** garble of the site file: share of the engines 0.479, of their answers 0.0291, for 5.72 s. */
const ENGINES = 5
const GARBLING_ENGINES = 2
const BROKEN_EVERY = 35
const GARBLE_MS = 5_500
const ANSWER_BYTES = 300_000
/** Bytes of a broken answer that arrive. */
const ARRIVING_BYTES = 280_000
const ROUTE_TIMEOUT_MS = 1_200
const SLACK_MS = 500
const CONSUMER_MS = 3_000
const REQUESTS_PER_S = 300

await runCase(import.meta.dirname, async ({ folder, record, own }) => {
  const store = own(new Store())
  await store.start()
  let isGarbling = false
  const seen = Array(ENGINES).fill(0)
  const engines = []
  for (let at = 0; at < ENGINES; at++) {
    const engine = own(new Engine({
      id: `desk-${at}`,
      service: 'desk',
      decide: run => {
        const isBroken = isGarbling && at < GARBLING_ENGINES && ++seen[at] % BROKEN_EVERY === 0
        if (isBroken) record(`desk-${at} breaks off its answer to ${run.id}`)
        return { bytes: ANSWER_BYTES, resetAfter: isBroken ? ARRIVING_BYTES : undefined }
      }
    }))
    await engine.start(store)
    engines.push(engine)
  }
  const route = { name: 'pages', pathPrefix: '/pages/', kind: 'idempotent', service: 'desk', timeoutMs: ROUTE_TIMEOUT_MS, maxAttempts: 2 }
  store.put('op', 'config', toConfig(1, [route], [{ name: 'desk', maxConns: 310 }]))
  const gateways = []
  for (const id of ['edge-1', 'edge-2']) {
    const gateway = own(new Gateway({ id, storeAddress: store.address, folder }))
    await gateway.start()
    gateways.push(gateway)
  }
  await sleep(1_500)
  isGarbling = IS_TROUBLED
  const sent = []
  for (const startedAt = performance.now(); performance.now() - startedAt < GARBLE_MS;) {
    while (sent.length < (performance.now() - startedAt) / 1_000 * REQUESTS_PER_S) {
      sent.push(send(gateways[sent.length % 2].callers, { id: `page${sent.length}`, path: '/pages/a', method: 'GET', timeoutMs: CONSUMER_MS }))
    }
    await sleep(10)
  }
  const answers = await Promise.all(sent)
  const whole = answers.filter(answer => answer.status === 200 && answer.isComplete)
  const long = answers.filter(answer => answer.tookMs > ROUTE_TIMEOUT_MS)
  const unanswered = long.filter(answer => answer.hasLeft && answer.tookMs > ROUTE_TIMEOUT_MS + SLACK_MS)
  for (const answer of answers) {
    if (!whole.includes(answer)) record(`${answer.id}: status ${answer.status}, ${answer.body.length} bytes, complete ${answer.isComplete}, the consumer left ${answer.hasLeft}, ${answer.tookMs} ms`)
  }
  record(`${answers.length} requests, ${whole.length} answered whole, ${long.length} longer than ${ROUTE_TIMEOUT_MS} ms, of these without an end ${SLACK_MS} ms later: ${unanswered.length}`)
  if (whole.length < 0.9 * answers.length) throw new Error('too few answers')
  return !(unanswered.length >= 8 && unanswered.length > long.length / 4)
})
