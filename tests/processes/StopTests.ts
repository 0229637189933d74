import { expect } from 'earl'
import { waitFor, type Fleet } from '../../tools/fleet/Fleet.js'
import { startWorkshop } from '../../tools/fleet/workshop.js'
import { createCaller, openSession, createBooking, createModelCall } from './helpers.js'

/** Number of tokens of a straggler, many times that of the other calls. */
const STRAGGLER_TOKENS = 400
const SHORT_TOKENS = 8

describe('a planned stop under load', () => {
  let fleet: Fleet

  beforeEach(async () => { fleet = await startWorkshop({ engines: 2, desks: 1, engineArgs: ['--ms-per-token', '10'] }) })
  afterEach(async () => { await fleet.stop() })

  /** Starts a straggler and short calls, stops a process while they run, and expects every response to be complete. */
  async function doTest (processId: string, entry: string): Promise<void> {
    const caller = createCaller(fleet, entry)
    const sessions = await Promise.all([...Array(5).keys()].map(async () => await openSession(caller)))
    let stragglerText = ''
    const calls = sessions.map(async (session, index) => await caller.stream(
      `/v1/sessions/${session}/calls/1`, createModelCall(index === 0 ? STRAGGLER_TOKENS : SHORT_TOKENS * index),
      text => { if (index === 0) stragglerText += text }
    ))
    await waitFor('the straggler to run', () => stragglerText.length > 20)
    fleet.get(processId).signal('SIGTERM')
    const responses = await Promise.all(calls)
    expect(responses.map(response => response.isComplete)).toEqual(sessions.map(() => true))
    expect(await fleet.get(processId).waitForExit()).toEqual(0)
  }

  it('should interrupt no response at an entry', async () => { await doTest('entry-1', 'entry-1') })
  it('should interrupt no response at a sidecar', async () => { await doTest('ratgeber-1', 'entry-1') })

  it('should send no new requests to a drained target, and use the other targets', async () => {
    const caller = createCaller(fleet, 'entry-1')
    expect(fleet.runCtl(['drain', 'ratgeber-1']).exitCode).toEqual(0)
    await waitFor('both entries to show the target as leaving', () => {
      const { output } = fleet.runCtl(['status', '--json'])
      return (output.match(/"state": "leaving"/g) ?? []).length === 2
    }, 3_000)
    for (let index = 0; index < 6; index++) {
      const session = await openSession(caller)
      expect((await caller.stream(`/v1/sessions/${session}/calls/1`, createModelCall(5))).isComplete).toEqual(true)
    }
    const status = await (await fetch(`${fleet.get('ratgeber-1').url}/metrics`)).text()
    expect(status).toMatchRegex(/wisteria_sidecar_tokens_total 0/)
  })

  it('should fail the readiness check of a stopping entry before its calls are complete', async () => {
    const caller = createCaller(fleet, 'entry-1')
    const session = await openSession(caller)
    const booking = caller.send('POST', `/v1/sessions/${session}/calls/1`, createBooking({ delayMs: 1_000 }))
    fleet.get('entry-1').signal('SIGTERM')
    await waitFor('the readiness check to fail', async () => (await fetch(`${fleet.get('entry-1').url}/readyz`)).status === 503)
    expect((await booking).status).toEqual(200)
  })
})
