/** Runs one session of the consultation program through real processes and prints its explanation. */
import { Caller } from '../fleet/Caller.js'
import type { Fleet } from '../fleet/Fleet.js'
import { startWorkshop, WORKSHOP_KEY } from '../fleet/workshop.js'

const TOOL_PAUSE_MS = 700

function printLine (text: string): void {
  process.stdout.write(`${text}\n`)
}

async function callModel (caller: Caller, session: string, call: number, question: string): Promise<void> {
  process.stdout.write(`  call ${call}, asked "${question}"\n    answer: `)
  const response = await caller.stream(`/v1/sessions/${session}/calls/${call}`, {
    type: 'model', messages: [{ role: 'user', content: question }], max_tokens: 64
  }, text => { process.stdout.write(text) })
  printLine(response.isComplete ? '' : ` (not whole: ${JSON.stringify(response.error)})`)
  if (!response.isComplete) throw new Error(`The response to call ${call} of session ${session} is incomplete.`)
}

async function callService (caller: Caller, session: string, call: number, operation: string, body: unknown): Promise<void> {
  const res = await caller.send('POST', `/v1/sessions/${session}/calls/${call}`, { type: 'service', service: 'kanzlei', operation, body })
  printLine(`  call ${call}, ${operation}: ${res.status} ${res.text}`)
  if (res.status !== 200) throw new Error(`Call ${call} of session ${session} (${operation}) returned status ${res.status}.`)
}

async function openSession (caller: Caller, body: Record<string, unknown>): Promise<string> {
  const res = await caller.send('POST', '/v1/sessions', body)
  if (res.status !== 201) throw new Error(`Opening a session returned status ${res.status}: ${res.text}`)
  return String(res.json!.id)
}

async function runConsultation (fleet: Fleet): Promise<string> {
  const [first, second] = [new Caller(fleet.get('entry-1').url, WORKSHOP_KEY), new Caller(fleet.get('entry-2').url, WORKSHOP_KEY)]
  const session = await openSession(first, { program: 'consultation' })
  printLine(`session ${session} is open`)
  await callModel(first, session, 1, 'The cuckoo calls only once. Where do I look first?')
  printLine(`  (tool pause of ${TOOL_PAUSE_MS} ms; the next calls go through the other entry)`)
  await new Promise(resolve => { setTimeout(resolve, TOOL_PAUSE_MS) })
  await callService(second, session, 2, 'parts-lookup', { part: 'bellows, left, 62 mm' })
  const child = await openSession(second, { program: 'consultation', parent: session, budget: { tokens: 500, calls: 5 } })
  printLine(`  sub-agent ${child} is open; its budget comes out of the session's`)
  await callModel(second, child, 1, 'Compare goat skin and paper for a 62 mm bellows.')
  await second.send('POST', `/v1/sessions/${child}/close`)
  await callService(first, session, 3, 'booking', { bench: 4, day: '2026-12-11' })
  await callService(second, session, 3, 'booking', { bench: 4, day: '2026-12-11' })
  printLine('  (the same booking was sent twice; the number shows that it ran once)')
  await callModel(second, session, 4, 'Thank you. What do I bring along?')
  await first.send('POST', `/v1/sessions/${session}/close`)
  return session
}

printLine('starting a platform stand-in, 6 engines, 3 desks, 9 sidecars and 2 entries …')
const fleet = await startWorkshop()
try {
  printLine('the workshop\'s documents are applied; every process uses version 1')
  const session = await runConsultation(fleet)
  printLine('\n$ wisteriactl explain session …')
  printLine(fleet.runCtl(['explain', 'session', session]).output)
  printLine('$ wisteriactl status')
  printLine(fleet.runCtl(['status']).output)
} finally {
  await fleet.stop()
}
printLine('every process has ended')
