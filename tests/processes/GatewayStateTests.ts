import { expect } from 'earl'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'
import { GatewayHarness, getPartition, STREAM_BODY, waitFor } from './GatewayHarness.js'

describe('a gateway and what lasts', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  it('should build a turn from the turns before it, byte for byte, also after a restart', async () => {
    expect((await harness.sendTurn('t1', {}, 'one,')).body).toEqual(STREAM_BODY)
    expect((await harness.sendTurn('t2', { 'x-previous-turn': 't1' }, 'two,')).body).toEqual(STREAM_BODY)
    await harness.gateway.kill()
    await harness.startGateway()
    await harness.sendTurn('t3', { 'x-previous-turn': 't2' }, 'three,')
    expect(harness.getRuns('t3')).toEqual(['one,first\nsecond\nthird\ntwo,first\nsecond\nthird\nthree,'])
  })

  it('should say that a turn is unknown only when the store says so', async () => {
    expect((await harness.sendTurn('t1', { 'x-previous-turn': 'nobody' }, 'x')).status).toEqual(404)
    harness.fixture.store.rows.failure = 'silent'
    expect((await harness.sendTurn('t2', { 'x-previous-turn': 'nobody' }, 'x')).status).toEqual(503)
    expect(harness.getRuns('t2')).toEqual([])
    await waitFor(() => harness.gateway.getEvents('store-away').length === 1)
    const startedAt = performance.now()
    expect((await harness.sendTurn('t3', { 'x-previous-turn': 'nobody' }, 'x')).status).toEqual(503)
    // Nothing is waited for that is known to be away; a third of the time that a turn may wait.
    expect(performance.now() - startedAt < 333).toEqual(true)
  })

  it('should end a turn\'s answer only when the turn is in the store', async () => {
    await harness.sendTurn('t0', {}, 'zero,')
    harness.fixture.store.rows.failure = 'refused'
    let seen = ''
    const headers = { 'x-program-id': 'p1', 'x-token-budget': '1000', 'x-token-usage': '10,50', 'x-previous-turn': 't0' }
    const response = harness.call({ id: 't1', path: '/turns/kept/a', body: 'one,', headers, onData: text => { seen += text } }).then(result => {
      seen += 'ended'
      return result
    })
    await waitFor(() => seen === STREAM_BODY && harness.gateway.getEvents('store-away').length === 1)
    expect(seen).toEqual(STREAM_BODY)
    harness.fixture.store.rows.failure = undefined
    expect((await response).isComplete).toEqual(true)
    expect((await harness.sendTurn('t2', { 'x-previous-turn': 't1' }, 'two,')).status).toEqual(200)
  })

  it('should break off a turn that cannot be saved, so that it does not look whole', async () => {
    await harness.sendTurn('t0', {}, 'zero,')
    harness.fixture.store.rows.failure = 'refused'
    const response = await harness.sendTurn('t1', { 'x-previous-turn': 't0' }, 'one,')
    expect(response.isComplete).toEqual(false)
  })

  it('should serve a program from its reserve while the store is away, and count only what its held turns made', async () => {
    await waitFor(() => harness.gateway.getEvents('reserves-claimed').length > 0)
    harness.fixture.store.rows.failure = 'refused'
    await waitFor(() => harness.gateway.getEvents('store-away').length === 1)
    // 45 tokens are in reserve; a turn may make 20 and makes 12, so the fourth finds 9.
    const headers = { 'x-program-id': 'p5', 'x-token-budget': '129', 'x-token-usage': '10,20' }
    const seen = new Map<string, string>()
    for (const id of ['h1', 'h2', 'h3']) {
      void harness.call({ id, path: '/turns/kept/a', body: id, headers, onData: text => { seen.set(id, `${seen.get(id) ?? ''}${text}`) } })
      await waitFor(() => seen.get(id) === STREAM_BODY)
    }
    const refused = await harness.call({ id: 'h4', path: '/turns/kept/a', body: 'x', headers })
    expect([refused.status, harness.getRuns('h4')]).toEqual([503, []])
  })

  it('should refuse a turn when the budget is spent, at every gateway, and not run it', async () => {
    await waitFor(() => harness.gateway.getEvents('reserves-claimed').length > 0)
    const other = await GatewayProcess.start({ id: 'gateway-2', storeAddress: harness.fixture.storeAddress })
    try {
      await waitFor(() => other.getEvents('reserves-known').length > 0)
      const headers = { 'x-program-id': 'p2', 'x-token-budget': '24', 'x-token-usage': '10,12', 'x-timeout-ms': '3000' }
      let receivedTokens = 0
      let refusedCount = 0
      for (let index = 0; index < 8; index++) {
        const target = index % 2 === 0 ? harness.gateway : other
        const response = await callPlatform(target.callerAddress, { id: `b${index}`, path: '/turns/kept/a', body: 'x', headers })
        if (response.status === 200) receivedTokens += 12
        else refusedCount += response.status === 402 && harness.getRuns(`b${index}`).length === 0 ? 1 : 0
      }
      expect(receivedTokens).toEqual(24)
      expect(refusedCount).toEqual(6)
    } finally {
      await other.kill()
    }
  })

  it('should count the tokens of the service that ran the turn, on a route with several', async () => {
    await waitFor(() => harness.gateway.getEvents('reserves-claimed').length > 0)
    let receivedTokens = 0
    for (let index = 0; index < 8; index++) {
      const headers = { 'x-program-id': 'p3', 'x-token-budget': '24', 'x-token-usage': '10,12' }
      const response = await harness.call({ id: `s${index}`, path: '/turns/split/a', body: `turn ${index}`, headers })
      if (response.status === 200) receivedTokens += 12
    }
    expect(receivedTokens).toEqual(24)
  })

  it('should refuse a request that broke three targets, also at another gateway', async () => {
    const other = await GatewayProcess.start({ id: 'gateway-2', storeAddress: harness.fixture.storeAddress })
    try {
      for (const address of [harness.gateway.callerAddress, other.callerAddress, harness.gateway.callerAddress]) {
        harness.setNextBehaviour('reset')
        await callPlatform(address, { id: 'poison', path: '/booking/x', body: 'poison' })
        harness.fixture.desks.forEach(desk => { desk.nextBehaviours.length = 0 })
        harness.fixture.restartTargets()
        await waitFor(() => [harness.gateway, other].every(process => process.getEvents('target-changed').length % 2 === 0))
      }
      await waitFor(() => other.getEvents('suspect-confirmed').length === 1)
      expect((await callPlatform(other.callerAddress, { id: 'b9', path: '/booking/x', body: 'poison' })).status).toEqual(503)
      expect((await callPlatform(other.callerAddress, { id: 'b10', path: '/booking/x', body: 'harmless' })).status).toEqual(200)
    } finally {
      await other.kill()
    }
  })

  it('should follow a new configuration and keep the routes of an older one out', async () => {
    expect((await harness.call({ id: 'r1', path: '/new/x' })).status).toEqual(404)
    harness.fixture.configure({}, ['/new/'])
    await waitFor(() => harness.gateway.getEvents('config-adopted').length === 2)
    expect((await harness.call({ id: 'r2', path: '/new/x' })).status).toEqual(200)
    harness.fixture.store.rows.truncateHistory()
    harness.fixture.configure({}, ['/newer/'])
    await waitFor(() => harness.gateway.getEvents('config-adopted').length === 3)
    expect((await harness.call({ id: 'r3', path: '/newer/x' })).status).toEqual(200)
  })

  it('should reach the store through a peer while its own way is cut', async () => {
    await waitFor(() => harness.gateway.getEvents('listening').length === 1)
    const peer = { address: harness.gateway.getEvents('listening')[0]!.peers, failureDomain: 'here' }
    const unreachableFixture = new PlatformFixture()
    const unreachableAddress = await unreachableFixture.store.start()
    unreachableFixture.store.put('gateways', 'gateway-1', peer)
    // The harness.gateway learns its peers while its own way is open.
    const other = await GatewayProcess.launch({ id: 'gateway-2', storeAddress: unreachableAddress })
    try {
      await waitFor(() => other.getEvents('peers-known').length > 0)
      unreachableFixture.store.rows.failure = 'refused'
      await other.waitUntilReady()
      const headers = { 'x-program-id': 'p9', 'x-token-budget': '1000', 'x-token-usage': '10,50' }
      const response = await callPlatform(other.callerAddress, { id: 't1', path: '/turns/kept/a', body: 'x', headers })
      expect(response.status).toEqual(200)
      expect(harness.fixture.store.rows.getRow({ table: 'turns', part: getPartition('t1'), key: 't1/0000' }) === undefined).toEqual(false)
    } finally {
      await other.kill()
      unreachableFixture.close()
    }
  })

  it('should finish what it has read when it is told to stop, and exit', async () => {
    let openGate = (): void => {}
    const gate = new Promise<void>(resolve => { openGate = resolve })
    for (const engine of harness.fixture.engines) engine.gate = gate
    const response = harness.sendTurn('t1', {}, 'x')
    await waitFor(() => harness.getRuns('t1').length === 1)
    harness.gateway.signal('SIGTERM')
    await waitFor(() => harness.gateway.getEvents('stopping').length === 1)
    expect(await harness.gateway.getReadiness()).toEqual(503)
    const lateResponse = await harness.call({ id: 'r1', path: '/lookup/x' })
    expect([lateResponse.status, lateResponse.headers.connection]).toEqual([200, 'close'])
    openGate()
    expect((await response).isComplete).toEqual(true)
    expect(await harness.gateway.waitForExit()).toEqual(0)
  })

  it('should take changed settings, and go on with the old ones when they have findings', async () => {
    harness.gateway.writeSettings('id = 5')
    harness.gateway.signal('SIGHUP')
    await waitFor(() => harness.gateway.getEvents('settings-rejected').length === 1)
    expect((await harness.call({ id: 'r1', path: '/lookup/x' })).status).toEqual(200)
    const newFixture = new PlatformFixture()
    await newFixture.start()
    try {
      // No signal: the file is looked at now and then.
      harness.gateway.writeSettings(harness.gateway.getSettings({ storeAddress: newFixture.storeAddress }))
      await waitFor(() => harness.gateway.getEvents('settings-taken').length === 1)
      const headers = { 'x-program-id': 'p9', 'x-token-budget': '1000', 'x-token-usage': '10,50' }
      await harness.call({ id: 't1', path: '/turns/kept/a', body: 'x', headers })
      await waitFor(() => newFixture.store.rows.getRow({ table: 'turns', part: getPartition('t1'), key: 't1/0000' }) !== undefined)
    } finally {
      newFixture.close()
    }
  })
})
