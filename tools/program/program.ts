/** Runs one program end to end on loopback: a gateway process with stand-ins for the store and the targets of the users' platform. */
import { callPlatform, type PlatformCallResponse, type PlatformCall } from '../platform/PlatformCaller.js'
import { GatewayProcess } from '../platform/GatewayProcess.js'
import { PlatformFixture } from '../platform/PlatformFixture.js'

const PROGRAM = { 'x-program-id': 'p1', 'x-token-budget': '1000', 'x-token-usage': '10,50' }

const fixture = new PlatformFixture()
await fixture.start()
let gateway = await GatewayProcess.start({ id: 'gateway-1', storeAddress: fixture.storeAddress })
try {
  await sendAndPrint({ id: 't1', path: '/turns/kept/plan', headers: PROGRAM, body: 'Where do I look first? ' })
  await sendAndPrint({ id: 'c1', path: '/lookup/part/7', headers: PROGRAM })
  await sendAndPrint({ id: 'c2', path: '/booking/bench/4', headers: PROGRAM, body: 'bench 4, nine o\'clock' })
  process.stdout.write('-- the gateway is killed and another one started\n')
  await gateway.kill()
  gateway = await GatewayProcess.start({ id: 'gateway-1', storeAddress: fixture.storeAddress })
  await sendAndPrint({ id: 't2', path: '/turns/kept/plan', headers: { ...PROGRAM, 'x-previous-turn': 't1' }, body: 'And then? ' })
  const turn = fixture.engines.flatMap(engine => engine.runs).find(run => run.id === 't2')
  process.stdout.write(`-- the engine received the whole line: ${JSON.stringify(turn?.body)}\n`)
  await sendAndPrint({ id: 't3', path: '/turns/kept/plan', headers: { ...PROGRAM, 'x-program-id': 'p2', 'x-token-budget': '20' }, body: 'Once more ' })
  process.stdout.write('-- what the gateway logged of t2\n')
  for (const line of gateway.lines.filter(text => text.includes('"t2"'))) process.stdout.write(`${line}\n`)
} finally {
  await gateway.kill()
  fixture.close()
}

async function sendAndPrint (call: PlatformCall): Promise<PlatformCallResponse> {
  const response = await callPlatform(gateway.callerAddress, call)
  process.stdout.write(`${call.id} ${call.path}: ${response.status} ${JSON.stringify(response.body)}\n`)
  return response
}
