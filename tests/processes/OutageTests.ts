import { expect } from 'earl'
import { waitFor, type Fleet } from '../../tools/fleet/Fleet.js'
import { startWorkshop, WORKSHOP_DOCUMENTS } from '../../tools/fleet/workshop.js'
import { createCaller, getFence, getLedger, openSession, resendUntilFinal, createBooking, createModelCall } from './helpers.js'

/** Milliseconds within which an accepted configuration is applied everywhere. */
const CONFIG_LIMIT_MS = 8_000

describe('the store', () => {
  let fleet: Fleet

  beforeEach(async () => { fleet = await startWorkshop({ engines: 1, desks: 1, engineArgs: ['--ms-per-token', '15'] }) })
  afterEach(async () => { await fleet.stop() })

  it('should delay the completion of a response during its outage, and lose nothing', async () => {
    const caller = createCaller(fleet, 'entry-1')
    const session = await openSession(caller)
    let text = ''
    const response = caller.stream(`/v1/sessions/${session}/calls/1`, createModelCall(40), chunk => { text += chunk })
    await waitFor('some text', () => text.length > 20)
    await fleet.setFaults({ isDown: true })
    await waitFor('the whole text', () => text.split(' ').length === 40)
    const refused = await caller.send('POST', `/v1/sessions/${session}/calls/2`, createBooking())
    expect(refused.json).toEqual(expect.subset({ reason: 'ledger-unreadable', outcome: 'unknown' }))
    const first = await caller.send('POST', '/v1/services/kanzlei/booking', {}, { 'idempotency-key': 'k', 'wisteria-sending': 'first' })
    expect(first.json).toEqual(expect.subset({ reason: 'store-unavailable', outcome: 'not-run' }))
    expect((await caller.send('POST', '/v1/services/kanzlei/parts-lookup', {})).status).toEqual(200)
    await fleet.setFaults({})
    expect((await response).isComplete).toEqual(true)
    expect((await resendUntilFinal(caller, `/v1/sessions/${session}/calls/2`, createBooking())).status).toEqual(200)
    expect((await getLedger(fleet, 'kanzlei-1')).filter(run => run.operation === 'booking').length).toEqual(1)
  })

  it('should not cause a booking to run twice when its responses are lost', async () => {
    const caller = createCaller(fleet, 'entry-1')
    const session = await openSession(caller)
    await fleet.setFaults({ loseAnswers: 2 })
    const res = await resendUntilFinal(caller, `/v1/sessions/${session}/calls/1`, createBooking())
    expect(res.json?.number).toEqual(1)
    expect((await getLedger(fleet, 'kanzlei-1')).length).toEqual(1)
  })

  it('should not prevent an entry that starts during its outage from getting the configuration', async () => {
    await fleet.setFaults({ isDown: true })
    await fleet.startEntry('entry-3', { region: 'west', failureDomain: 'neuenburg' })
    await fleet.waitForReady('entry-3', 2)
    const caller = createCaller(fleet, 'entry-3')
    expect((await caller.send('POST', '/v1/services/kanzlei/parts-lookup', {})).status).toEqual(200)
  })
})

describe('two operators who apply concurrently', () => {
  let fleet: Fleet

  before(async () => { fleet = await startWorkshop({ engines: 2, desks: 1 }) })
  after(async () => { await fleet.stop() })

  it('should get one change that is applied everywhere within its time limit, and one conflict', async () => {
    const args = ['apply', '--base-version', '1', WORKSHOP_DOCUMENTS]
    const results = await Promise.all([fleet.startCtl(args), fleet.startCtl(args)])
    expect(results.map(result => result.exitCode).sort()).toEqual([0, 3])
    await waitFor('version 2 everywhere', () => {
      const { output } = fleet.runCtl(['status', '--json'])
      const versions = [...output.matchAll(/"configVersion": (\d+)/g)].map(match => match[1])
      return versions.length === 8 && versions.every(version => version === '2')
    }, CONFIG_LIMIT_MS)
    await waitFor('the engines to have received an order of version 2', async () => {
      const fences = await Promise.all([1, 2].map(async index => await getFence(fleet, `ratgeber-${index}`)))
      return fences.every(fence => fence === 2)
    }, CONFIG_LIMIT_MS)
  })

  it('should see the finding of an invalid document with its line and path, and change nothing', () => {
    const result = fleet.runCtl(['validate', 'tests/processes/broken.toml'])
    expect(result.exitCode).toEqual(2)
    expect(result.output).toEqual('broken.toml:5: service[0].slots: wrong type; expected number\n')
  })
})
