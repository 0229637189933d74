/** Gateways are stopped and started in turn while programs go on over channels that they keep open. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { send } from '../lib/consumer.mjs'
import { Engine } from '../lib/Engine.mjs'
import { Gateway } from '../lib/Gateway.mjs'
import { IS_TROUBLED, runCase, toConfig } from '../lib/run.mjs'
import { Store } from '../lib/Store.mjs'

/** roll_term, one machine at a time, each 1.3 s; its share is 1 where none is given (`how = "busy"` in the site file). */
const GATEWAYS = 8
const STOPPED = 6
const ROUNDS = 2
const GAP_MS = 1_300
const CONSUMERS_PER_GATEWAY = 6
/** A sound stream of 4.6 s: 13 events, pauses under the 400 ms of the sheet. */
const EVENTS = 13
const EVENT_GAP_MS = 380
/** Think time of a program after a turn (mean 60 ms in the site file of kuckuck-hilfe, longest 240). */
const THINK_MS = [30, 60]
/** One way to another region and back, and the store's own answer. */
const STORE_ANSWER_MS = 28
/** Work of a booking on the sheet. */
const WORK_MS = 112
const GRACE_MS = 8_000

await runCase(import.meta.dirname, async ({ folder, record, own }) => {
  const store = own(new Store({ answerMs: STORE_ANSWER_MS }))
  await store.start()
  const engines = []
  for (let at = 0; at < 6; at++) engines.push(own(new Engine({ id: `engine-${at}`, service: 'model', decide: () => ({ events: EVENTS, gapMs: EVENT_GAP_MS }) })))
  for (let at = 0; at < 3; at++) engines.push(own(new Engine({ id: `desk-${at}`, service: 'desk', decide: () => ({ bytes: 800, workMs: WORK_MS }) })))
  for (const engine of engines) await engine.start(store)
  const turns = { name: 'turns', pathPrefix: '/turns/', kind: 'streaming', service: 'model', retained: false, resumable: false, sessionAffinity: true, targetGapMs: 400 }
  const tools = { name: 'bookings', pathPrefix: '/bookings/', kind: 'non_idempotent', service: 'desk', timeoutMs: 3_000 }
  store.put('op', 'config', toConfig(1, [turns, tools], [{ name: 'model', engine: { slots: 48, tokensPerEvent: 3 } }, { name: 'desk', maxConns: 110 }]))
  const gateways = await Promise.all(Array.from({ length: GATEWAYS }, async (_, at) => {
    const gateway = own(new Gateway({ id: `edge-${at}`, storeAddress: store.address, folder, graceMs: GRACE_MS }))
    await gateway.start()
    return gateway
  }))
  await sleep(4_000)
  const reached = id => engines.some(engine => engine.runs.some(run => run.id === id))
  let isOver = false
  const lost = []
  let answered = 0
  const others = gateways.slice(STOPPED)
  /** A program: a turn, a pause, a booking, and so on; on one channel while it stays open, then on a new one to a gateway in rotation. */
  const play = async (first, name) => {
    let gateway = first
    let agent = new Agent({ keepAlive: true, maxSockets: 1 })
    for (let turn = 0; ; turn++) {
      if (isOver) break
      for (const [kind, path, body] of [['turn', '/turns/a', 'a question'], ['booking', '/bookings/a', 'a bench']]) {
        const id = `${name}-${kind}-${turn}`
        const answer = await send(gateway.callers, { id, path, body: `${body} ${id}`, agent, headers: { 'x-program-id': name, 'x-session-id': name } })
        const isWhole = answer.status === 200 && answer.isComplete
        if (isWhole) answered++
        else {
          const sinceMs = gateway.stoppedAt === undefined ? '-' : Math.round(performance.now() - gateway.stoppedAt)
          const wasRun = reached(id)
          record(`${id} at ${gateway.id}: status ${answer.status}, complete ${answer.isComplete}, ${answer.error ?? ''}, passed on ${wasRun}, ${answer.tookMs} ms, ${sinceMs} ms after SIGTERM`)
          if (wasRun && answer.status !== 502 && answer.status !== 504) lost.push(id)
        }
        if (!isWhole || answer.headers.connection === 'close') {
          agent.destroy()
          agent = new Agent({ keepAlive: true, maxSockets: 1 })
          if (gateway.stoppedAt !== undefined) gateway = others[at++ % others.length]
        }
        await sleep(THINK_MS[0] + Math.random() * (THINK_MS[1] - THINK_MS[0]))
      }
    }
    agent.destroy()
  }
  let at = 0
  for (let round = 0; round < ROUNDS; round++) {
    isOver = false
    for (const gateway of gateways) gateway.stoppedAt = undefined
    const plays = []
    for (const gateway of gateways) {
      for (let n = 0; n < CONSUMERS_PER_GATEWAY; n++) {
        plays.push(play(gateway, `r${round}-${gateway.id}-p${n}`))
        await sleep(100)
      }
    }
    if (IS_TROUBLED) {
      for (const gateway of gateways.slice(0, STOPPED)) {
        record(`SIGTERM to ${gateway.id}`)
        gateway.stoppedAt = performance.now()
        gateway.signal('SIGTERM')
        void gateway.exited.then(() => gateway.start()).catch(() => {})
        await sleep(GAP_MS)
      }
    }
    await sleep(GRACE_MS)
    isOver = true
    await Promise.all(plays)
  }
  record(`${answered} answered, ${lost.length} passed on to an engine and cut off without an answer: ${lost.join(' ')}`)
  if (answered < 8) throw new Error('too few answers')
  return lost.length === 0
})
