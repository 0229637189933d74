/**
 * Programs whose turns carry the same input text ("continue"). For 4 s, half of the engines lose the answers of 1 in 20 requests
 * that they ran. Later, with no disturbance for more than contactMs,
 * turns with that text are sent for programs whose earlier turn was answered whole.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { send } from '../lib/consumer.mjs'
import { Engine } from '../lib/Engine.mjs'
import { Gateway } from '../lib/Gateway.mjs'
import { IS_TROUBLED, runCase, toConfig } from '../lib/run.mjs'
import { Store } from '../lib/Store.mjs'

/** answer_lost of the site file: share of the engines, share of their answers, length. */
const LOST_ENGINES = 0.5
const LOST_EVERY = 20
const LOST_MS = 4_000
const CONTACT_MS = 4_000
const TURNS_PER_S = 150
const JUDGED_PROGRAMS = 20
/** Two tries each time the program sends the turn, which it does three times. */
const TRIES = 6
const INPUT = 'continue'

let nextId = 0
const newId = kind => `${kind}${String(nextId++).padStart(6, '0')}`

await runCase(import.meta.dirname, async ({ folder, record, own }) => {
  const store = own(new Store())
  await store.start()
  let isLosing = false
  const seen = new Map()
  const engines = []
  for (let at = 0; at < 9; at++) {
    const isHarmed = at < Math.floor(9 * LOST_ENGINES)
    const engine = own(new Engine({
      id: `engine-${at}`,
      service: 'model',
      decide: run => {
        if (!isLosing || !isHarmed) return {}
        const count = (seen.get(at) ?? 0) + 1
        seen.set(at, count)
        if (count % LOST_EVERY !== 0) return {}
        record(`engine-${at} runs ${run.id} (${JSON.stringify(run.body.toString().slice(-INPUT.length))}) and its answer is lost`)
        return { resetAfter: 0 }
      }
    }))
    await engine.start(store)
    engines.push(engine)
  }
  const route = { name: 'turns', pathPrefix: '/turns/', kind: 'streaming', service: 'model', retained: true, retentionS: 60, resumable: false, sessionAffinity: true, targetGapMs: 400 }
  store.put('op', 'config', toConfig(1, [route], [{ name: 'model', engine: { slots: 48, tokensPerEvent: 3 } }]))
  const gateways = []
  for (const id of ['edge-1', 'edge-2']) {
    const gateway = own(new Gateway({ id, storeAddress: store.address, folder }))
    await gateway.start()
    gateways.push(gateway)
  }
  await sleep(2_000)
  const pick = () => gateways[nextId % gateways.length].callers
  const sendTurn = (program, input, previous) => {
    const id = newId('turn')
    const headers = { 'x-program-id': program, 'x-session-id': program, 'x-program-deadline-ms': '20000', 'x-token-budget': '10000', 'x-token-usage': '100,30', ...(previous === undefined ? {} : { 'x-previous-turn': previous }) }
    return send(pick(), { id, path: '/turns/a', headers, body: input })
  }
  const isWhole = answer => answer.status === 200 && answer.isComplete
  /** A program: one turn of its own, then turns with the common input. */
  const play = async () => {
    const program = newId('prog')
    let last = await sendTurn(program, `question of ${program}`)
    for (let turn = 0; turn < 3 && isWhole(last); turn++) last = await sendTurn(program, INPUT, last.id)
  }
  const traffic = async ms => {
    const plays = []
    for (const until = performance.now() + ms; performance.now() < until;) {
      plays.push(play())
      await sleep(4_000 / TURNS_PER_S)
    }
    await Promise.all(plays)
  }
  await traffic(1_000)
  isLosing = IS_TROUBLED
  record('begin of the disturbance')
  await traffic(LOST_MS)
  isLosing = false
  record('end of the disturbance')
  await traffic(CONTACT_MS + 1_000)
  const reached = id => engines.some(engine => engine.runs.some(run => run.id === id))
  let firstReached = 0
  let stuck = 0
  let judged = 0
  await Promise.all(Array.from({ length: JUDGED_PROGRAMS }, async () => {
    const program = newId('prog')
    const first = await sendTurn(program, `question of ${program}`)
    record(`${first.id}: first turn of ${program}: status ${first.status}, complete ${first.isComplete}`)
    if (reached(first.id)) firstReached++
    if (!isWhole(first)) return
    judged++
    for (let tries = 1; tries <= TRIES; tries++) {
      const answer = await sendTurn(program, INPUT, first.id)
      record(`${answer.id}: try ${tries} of the turn after ${first.id}: status ${answer.status} ${answer.status === 200 ? '' : answer.body.toString().slice(0, 120)}, run ${reached(answer.id)}`)
      if (reached(answer.id)) return
      await sleep(1_000 * Number(answer.headers['retry-after'] ?? 0.3))
    }
    stuck++
  }))
  record(`first turns that reached an engine: ${firstReached} of ${JUDGED_PROGRAMS}; turns after a whole turn: ${judged}, of these in ${TRIES} tries at no engine: ${stuck}`)
  if (firstReached < 0.9 * JUDGED_PROGRAMS || judged === 0) throw new Error('first turns did not reach engines')
  return stuck === 0
})
