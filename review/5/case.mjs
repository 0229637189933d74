/**
 * A gateway is killed while it relays a kept turn that may be resumed; the consumer takes the stream up at another one, then sends the
 * next turn.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { send } from '../lib/consumer.mjs'
import { Engine } from '../lib/Engine.mjs'
import { Gateway } from '../lib/Gateway.mjs'
import { IS_TROUBLED, runCase, toConfig } from '../lib/run.mjs'
import { Store } from '../lib/Store.mjs'

const EVENTS = 11
const INPUTS = ['first input\n', 'second input\n']

await runCase(import.meta.dirname, async ({ folder, record, own }) => {
  const store = own(new Store())
  await store.start()
  const engines = []
  for (let at = 0; at < 3; at++) {
    const engine = own(new Engine({ id: `engine-${at}`, service: 'model', decide: () => ({ events: EVENTS, gapMs: 100, data: index => `word ${index}` }) }))
    await engine.start(store)
    engines.push(engine)
  }
  const route = { name: 'turns', pathPrefix: '/turns/', kind: 'streaming', service: 'model', retained: true, retentionS: 60, resumable: true, maxAttempts: 2, sessionAffinity: true, targetGapMs: 400 }
  store.put('op', 'config', toConfig(1, [route], [{ name: 'model', engine: { slots: 48, tokensPerEvent: 3 } }]))
  const gateways = []
  for (const id of ['edge-1', 'edge-2']) {
    const gateway = own(new Gateway({ id, storeAddress: store.address, folder }))
    await gateway.start()
    gateways.push(gateway)
  }
  await sleep(2_500)
  const turn = (gateway, id, headers, body, onData) => send(gateway.callers, {
    id, path: '/turns/a', body, onData, headers: { 'x-program-id': 'p', 'x-session-id': 'p', 'x-token-budget': '3000', 'x-token-usage': '100,60', ...headers }
  })
  let isKilled = false
  let received = ''
  let last = await turn(gateways[0], 'turn-1', {}, INPUTS[0], chunk => {
    received += chunk.toString()
    if (!IS_TROUBLED || isKilled || !received.includes('id: 4')) return
    isKilled = true
    record('edge-1 is killed')
    gateways[0].signal('SIGKILL')
  })
  record(`turn-1: status ${last.status}, complete ${last.isComplete}, ${received.match(/^data:/gm)?.length ?? 0} events`)
  if (!last.isComplete) {
    const lastId = [...received.matchAll(/id: (\d+)\ndata: .*\n\n/g)].at(-1)[1]
    await sleep(200)
    last = await turn(gateways[1], 'turn-1-again', { 'last-event-id': lastId, resumes: 'turn-1' }, INPUTS[0], chunk => { received += chunk.toString() })
    record(`turn-1-again after event ${lastId}: status ${last.status}, complete ${last.isComplete}`)
  }
  if (last.status !== 200 || !last.isComplete) throw new Error('the turn was not answered whole')
  const next = await turn(gateways[1], 'turn-2', { 'x-previous-turn': last.id }, INPUTS[1])
  const run = engines.flatMap(engine => engine.runs).find(found => found.id === 'turn-2')
  record(`turn-2 after ${last.id}: status ${next.status}, complete ${next.isComplete}`)
  const words = Array.from({ length: EVENTS }, (_, at) => `word ${at + 1}\n`).join('')
  const expected = `${INPUTS[0]}${words}${INPUTS[1]}`
  record(`the engine is to receive ${JSON.stringify(expected)}`)
  record(`the engine received      ${JSON.stringify(run?.body.toString())}`)
  if (run === undefined) throw new Error('the next turn reached no engine')
  return run.body.toString() === expected
})
