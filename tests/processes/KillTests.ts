import { expect } from 'earl'
import { waitFor, type Fleet } from '../../tools/fleet/Fleet.js'
import { SilentRelay } from '../../tools/fleet/SilentRelay.js'
import { startWorkshop } from '../../tools/fleet/workshop.js'
import { createCaller, getEngineRunCount, getLedger, openSession, resendUntilFinal, createBooking, createModelCall } from './helpers.js'

describe('processes that are killed or frozen', () => {
  let fleet: Fleet

  beforeEach(async () => { fleet = await startWorkshop({ engines: 3, desks: 1, engineArgs: ['--ms-per-token', '20'] }) })
  afterEach(async () => { await fleet.stop() })

  async function countEngineRuns (): Promise<number> {
    const runs = await Promise.all([1, 2, 3].map(async index => await getEngineRunCount(fleet, `ratgeber-${index}`)))
    return runs.reduce((sum, count) => sum + count, 0)
  }

  it('should send the complete response through another entry when one is killed during a stream', async () => {
    const [first, second] = [createCaller(fleet, 'entry-1'), createCaller(fleet, 'entry-2')]
    const session = await openSession(first)
    let text = ''
    const interrupted = first.stream(`/v1/sessions/${session}/calls/1`, createModelCall(60), chunk => { text += chunk })
    await waitFor('some text', () => text.length > 20)
    await fleet.get('entry-1').kill()
    expect((await interrupted).isComplete).toEqual(false)
    const complete = await second.stream(`/v1/sessions/${session}/calls/1`, createModelCall(60))
    expect(complete.isComplete).toEqual(true)
    expect(complete.text.split(' ').length).toEqual(60)
    expect(complete.text.startsWith(text)).toEqual(true)
    expect(await countEngineRuns()).toEqual(1)
  })

  it('should book once when the entry of a booking is killed', async () => {
    const [first, second] = [createCaller(fleet, 'entry-1'), createCaller(fleet, 'entry-2')]
    const session = await openSession(first)
    const interrupted = first.send('POST', `/v1/sessions/${session}/calls/1`, createBooking({ delayMs: 800 })).catch(() => undefined)
    await waitFor('the booking to run', async () => (await getLedger(fleet, 'kanzlei-1')).length === 1)
    await fleet.get('entry-1').kill()
    await interrupted
    const res = await resendUntilFinal(second, `/v1/sessions/${session}/calls/1`, createBooking({ delayMs: 800 }))
    expect(res.json?.number).toEqual(1)
    expect((await getLedger(fleet, 'kanzlei-1')).length).toEqual(1)
  })

  it('should report an unknown outcome when the sidecar of a booking is killed', async () => {
    const caller = createCaller(fleet, 'entry-1')
    const headers = { 'idempotency-key': 'b-1' }
    const path = '/v1/services/kanzlei/booking'
    const first = caller.send('POST', path, { delayMs: 1_500 }, headers)
    await waitFor('the booking to run', async () => (await getLedger(fleet, 'kanzlei-1')).length === 1)
    await fleet.get('kanzlei-1').kill()
    await fleet.startSidecar('kanzlei-1')
    await fleet.publish()
    expect((await first).json).toEqual(expect.subset({ reason: 'outcome-unknown', outcome: 'unknown' }))
    expect((await caller.send('POST', path, { delayMs: 1_500 }, headers)).json).toEqual(expect.subset({ reason: 'outcome-unknown' }))
    expect((await getLedger(fleet, 'kanzlei-1')).length).toEqual(1)
  })

  it('should let another entry take over from a frozen one, which then changes nothing', async () => {
    const [first, second] = [createCaller(fleet, 'entry-1'), createCaller(fleet, 'entry-2')]
    const session = await openSession(first)
    const frozen = first.send('POST', `/v1/sessions/${session}/calls/1`, createBooking({ delayMs: 600 }))
    await waitFor('the booking to run', async () => (await getLedger(fleet, 'kanzlei-1')).length === 1)
    fleet.get('entry-1').signal('SIGSTOP')
    const res = await resendUntilFinal(second, `/v1/sessions/${session}/calls/1`, createBooking({ delayMs: 600 }))
    expect(res.json?.number).toEqual(1)
    expect((await second.send('POST', `/v1/sessions/${session}/calls/2`, createBooking({ bench: 5 }))).status).toEqual(200)
    fleet.get('entry-1').signal('SIGCONT')
    expect((await frozen).json?.number).toEqual(1)
    expect((await second.send('GET', `/v1/sessions/${session}`)).json?.nextCall).toEqual(3)
    expect((await getLedger(fleet, 'kanzlei-1')).length).toEqual(2)
  })

  it('should quarantine a request that crashes its targets', async () => {
    const caller = createCaller(fleet, 'entry-1')
    for (let index = 0; index < 20; index++) await caller.send('POST', '/v1/chat/completions', { model: 'consultation', ...createModelCall(1) })
    const crashingRequest = { model: 'consultation', messages: [{ role: 'user', content: 'x [crash]' }], max_tokens: 5 }
    const reasons: string[] = []
    for (let index = 0; index < 4; index++) reasons.push(String((await caller.send('POST', '/v1/chat/completions', crashingRequest)).json?.reason))
    const crashedTargets = ['ratgeber-1', 'ratgeber-2', 'ratgeber-3'].filter(id => !fleet.get(`${id}/target`).isRunning())
    expect(reasons.at(-1)).toEqual('quarantined')
    expect(crashedTargets.length).toEqual(2)
  })
})

describe('a connection that becomes permanently silent', () => {
  it('should be replaced without loss of a byte', async () => {
    let relay: SilentRelay | undefined
    const fleet = await startWorkshop({
      engines: 1,
      desks: 1,
      entries: 1,
      engineArgs: ['--ms-per-token', '30'],
      beforePublish: async starting => {
        relay = await SilentRelay.start(starting.get('ratgeber-1').url)
        starting.setAddress('ratgeber-1', relay.url)
      }
    })
    try {
      const caller = createCaller(fleet, 'entry-1')
      const session = await openSession(caller)
      let text = ''
      const response = caller.stream(`/v1/sessions/${session}/calls/1`, createModelCall(120), chunk => { text += chunk })
      await waitFor('some text', () => text.length > 20)
      relay!.silence()
      expect(await response).toEqual(expect.subset({ isComplete: true }))
      const stored = await caller.send('GET', `/v1/sessions/${session}/calls/1`)
      expect(text).toEqual(stored.json?.choices[0].message.content)
      expect(text.split(' ').length).toEqual(120)
      expect(await (await fetch(`${fleet.get('entry-1').url}/metrics`)).text()).toMatchRegex(/wisteria_retries_total\{reason="relay-silent"\} [1-9]/)
    } finally {
      relay!.stop()
      await fleet.stop()
    }
  })
})
