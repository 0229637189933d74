/** One request without a body crashes each engine that runs it, and comes again with the same path from the same caller. */
import { setTimeout as sleep } from 'node:timers/promises'
import { send } from '../lib/consumer.mjs'
import { Engine } from '../lib/Engine.mjs'
import { Gateway } from '../lib/Gateway.mjs'
import { IS_TROUBLED, runCase, toConfig } from '../lib/run.mjs'
import { Store } from '../lib/Store.mjs'

const PATH = '/lookup/item'
const CONTACT_MS = 4_000
const BACK_AFTER_MS = 3_000
/** The request comes again this long after its consumer has given up on the previous one. */
const PAUSE_MS = 1_500
const PLAY_MS = 20_000
/** Retries that the rule allows. */
const MAX_RETRIES = 3

await runCase(import.meta.dirname, async ({ folder, record, own }) => {
  const store = own(new Store())
  await store.start()
  const crashes = []
  const engines = []
  for (let at = 0; at < 6; at++) {
    const engine = own(new Engine({
      id: `desk-${at}`,
      service: 'desk',
      decide: run => {
        if (!IS_TROUBLED || run.url !== PATH) return { bytes: 800, workMs: 20 }
        return {
          workMs: 20,
          crash: () => {
            crashes.push(performance.now())
            record(`${engine.id} runs ${run.id} and crashes (crash ${crashes.length})`)
            engine.crash(store, BACK_AFTER_MS)
          }
        }
      }
    }))
    await engine.start(store)
    engines.push(engine)
  }
  const route = { name: 'lookup', pathPrefix: '/lookup/', kind: 'idempotent', service: 'desk', timeoutMs: 1_500, maxAttempts: 2 }
  store.put('op', 'config', toConfig(1, [route], [{ name: 'desk', maxConns: 100 }]))
  const gateways = []
  for (const id of ['edge-1', 'edge-2']) {
    const gateway = own(new Gateway({ id, storeAddress: store.address, folder }))
    await gateway.start()
    gateways.push(gateway)
  }
  await sleep(1_500)
  const reached = id => engines.some(engine => engine.runs.some(run => run.id === id))
  let next = 0
  let late = 0
  let answered = 0
  const ask = async () => {
    const sentAt = performance.now()
    const id = `look${String(next).padStart(4, '0')}`
    const answer = await send(gateways[next++ % 2].callers, { id, path: PATH, method: 'GET', timeoutMs: 1_500 })
    if (answer.status === 200) answered++
    const isLate = crashes.length >= 3 && sentAt > crashes[2] + CONTACT_MS
    if (isLate && reached(id)) late++
    record(`${id}: status ${answer.status} ${answer.status === 200 ? '' : answer.body.toString().slice(0, 90)}, reached an engine: ${reached(id)}, later than contactMs after the third crash: ${isLate}`)
    return answer
  }
  for (const startedAt = performance.now(); performance.now() - startedAt < PLAY_MS;) {
    // The consumer retries an idempotent request once after a failure.
    if ((await ask()).status !== 200) await ask()
    await sleep(PAUSE_MS)
  }
  record(`${next} requests, ${answered} answered, ${crashes.length} crashes; requests that reached engines later than contactMs after the third crash: ${late}`)
  if (!IS_TROUBLED && answered !== next) throw new Error('not all were answered')
  return late <= MAX_RETRIES
})
