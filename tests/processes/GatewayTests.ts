import { createHash } from 'node:crypto'
import { connect } from 'node:net'
import { expect } from 'earl'
import type { EngineBehaviour } from '../../tools/platform/EngineStandin.js'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform, type PlatformAnswer, type PlatformCall } from '../../tools/platform/PlatformCaller.js'
import { FIXTURE_HOST, PlatformFixture } from '../../tools/platform/PlatformFixture.js'

const STREAM = 'id: 1\ndata: first\n\nid: 2\ndata: second\n\nid: 3\ndata: third\n\n'

describe('a gateway before stand-ins of the platform', () => {
  let fixture: PlatformFixture
  let gateway: GatewayProcess
  const call = async (options: PlatformCall): Promise<PlatformAnswer> => await callPlatform(gateway.callers, options)
  const turn = async (id: string, headers: Record<string, string>, body: string, path = '/turns/kept/a'): Promise<PlatformAnswer> => {
    return await call({ id, path, body, headers: { 'x-program-id': 'p1', 'x-token-budget': '1000', 'x-token-usage': '10,50', ...headers } })
  }
  const getRuns = (id: string): string[] => {
    const runs = [...fixture.engines, ...fixture.desks].flatMap(standin => standin.runs)
    return runs.filter(run => run.id === id).map(run => run.body)
  }
  const setNext = (behaviour: EngineBehaviour, all = true): void => {
    for (const standin of [...fixture.engines, ...fixture.desks]) if (all || standin === fixture.desks[0]) standin.next.push(behaviour)
  }

  beforeEach(async () => {
    fixture = new PlatformFixture()
    await fixture.start()
    gateway = await GatewayProcess.start({ id: 'gateway-1', storeAddress: fixture.storeAddress })
  })

  afterEach(async () => {
    await gateway.kill()
    fixture.close()
  })

  it('should answer a lookup with the target\'s own bytes and signature', async () => {
    const answer = await call({ id: 'r1', path: '/lookup/x?y=%2e%2e' })
    expect(answer.body).toEqual('answer to /lookup/x?y=%2e%2e')
    expect(answer.headers['x-response-signature']).toEqual('signed-r1')
  })

  it('should build a turn from the turns before it, byte for byte, also after a restart', async () => {
    expect((await turn('t1', {}, 'one,')).body).toEqual(STREAM)
    expect((await turn('t2', { 'x-previous-turn': 't1' }, 'two,')).body).toEqual(STREAM)
    await gateway.kill()
    gateway = await GatewayProcess.start({ id: 'gateway-1', storeAddress: fixture.storeAddress })
    await turn('t3', { 'x-previous-turn': 't2' }, 'three,')
    expect(getRuns('t3')).toEqual(['one,first\nsecond\nthird\ntwo,first\nsecond\nthird\nthree,'])
  })

  it('should say that a turn is unknown only when the store says so', async () => {
    expect((await turn('t1', { 'x-previous-turn': 'nobody' }, 'x')).status).toEqual(404)
    fixture.store.rows.failure = 'silent'
    expect((await turn('t2', { 'x-previous-turn': 'nobody' }, 'x')).status).toEqual(503)
    expect(getRuns('t2')).toEqual([])
  })

  it('should end a turn\'s answer only when the turn is in the store', async () => {
    await turn('t0', {}, 'zero,')
    fixture.store.rows.failure = 'refused'
    let seen = ''
    const headers = { 'x-program-id': 'p1', 'x-token-budget': '1000', 'x-token-usage': '10,50', 'x-previous-turn': 't0' }
    const answer = call({ id: 't1', path: '/turns/kept/a', body: 'one,', headers, onData: text => { seen += text } }).then(result => {
      seen += 'ended'
      return result
    })
    await waitFor(() => seen === STREAM && gateway.getEvents('store-away').length === 1)
    expect(seen).toEqual(STREAM)
    fixture.store.rows.failure = undefined
    expect((await answer).isWhole).toEqual(true)
    expect((await turn('t2', { 'x-previous-turn': 't1' }, 'two,')).status).toEqual(200)
  })

  it('should break off a turn that cannot be saved, so that it does not look whole', async () => {
    await turn('t0', {}, 'zero,')
    fixture.store.rows.failure = 'refused'
    const answer = await turn('t1', { 'x-previous-turn': 't0' }, 'one,')
    expect(answer.isWhole).toEqual(false)
  })

  it('should refuse a turn when the budget is spent, at every gateway, and not run it', async () => {
    const other = await GatewayProcess.start({ id: 'gateway-2', storeAddress: fixture.storeAddress })
    try {
      const headers = { 'x-program-id': 'p2', 'x-token-budget': '24', 'x-token-usage': '10,12', 'x-timeout-ms': '3000' }
      let handedOut = 0
      let refused = 0
      for (let at = 0; at < 8; at++) {
        const target = at % 2 === 0 ? gateway : other
        const answer = await callPlatform(target.callers, { id: `b${at}`, path: '/turns/kept/a', body: 'x', headers })
        if (answer.status === 200) handedOut += 12
        else refused += answer.status === 402 && getRuns(`b${at}`).length === 0 ? 1 : 0
      }
      expect(handedOut).toEqual(24)
      expect(refused).toEqual(6)
    } finally {
      await other.kill()
    }
  })

  it('should count the tokens of the service that ran the turn, on a route with several', async () => {
    let handedOut = 0
    for (let at = 0; at < 8; at++) {
      const headers = { 'x-program-id': 'p3', 'x-token-budget': '24', 'x-token-usage': '10,12' }
      const answer = await call({ id: `s${at}`, path: '/turns/split/a', body: `turn ${at}`, headers })
      if (answer.status === 200) handedOut += 12
    }
    expect(handedOut).toEqual(24)
  })

  it('should repeat a lookup elsewhere, and never a booking that may have run', async () => {
    setNext('reset', false)
    setNext('reset', false)
    for (const at of [1, 2, 3, 4]) {
      expect((await call({ id: `l${at}`, path: '/lookup/x' })).status).toEqual(200)
    }
    setNext('reset')
    const booking = await call({ id: 'b1', path: '/booking/x', body: 'bench 4' })
    expect(booking.status).toEqual(502)
    expect(getRuns('b1').length).toEqual(1)
  })

  it('should refuse a request that broke three targets, also at another gateway', async () => {
    const other = await GatewayProcess.start({ id: 'gateway-2', storeAddress: fixture.storeAddress })
    try {
      for (const address of [gateway.callers, other.callers, gateway.callers]) {
        setNext('reset')
        await callPlatform(address, { id: 'poison', path: '/booking/x', body: 'poison' })
        fixture.desks.forEach(desk => { desk.next.length = 0 })
        fixture.restartTargets()
        await waitFor(() => [gateway, other].every(process => process.getEvents('target-changed').length % 2 === 0))
      }
      await waitFor(() => other.getEvents('suspect-confirmed').length === 1)
      expect((await callPlatform(other.callers, { id: 'b9', path: '/booking/x', body: 'poison' })).status).toEqual(503)
      expect((await callPlatform(other.callers, { id: 'b10', path: '/booking/x', body: 'harmless' })).status).toEqual(200)
    } finally {
      await other.kill()
    }
  })

  it('should send a booking on when the target states that it did not run it', async () => {
    fixture.desks[0]!.next.push('not-run')
    fixture.desks[1]!.next.push('not-run')
    const refused = await call({ id: 'b1', path: '/booking/x', body: 'bench 4' })
    expect(refused.status).toEqual(503)
    expect(Number(refused.headers['retry-after']) > 0).toEqual(true)
    fixture.desks[0]!.next.push('not-run')
    const answers = await Promise.all(['b2', 'b3'].map(async id => await call({ id, path: '/booking/x', body: 'bench 4' })))
    expect(answers.map(answer => answer.status)).toEqual([200, 200])
  })

  it('should not pass on an answer that is unsigned, cut off, another request\'s or an unproved refusal', async () => {
    for (const behaviour of ['unsigned', 'cut-length', 'other-request', 'refuse-unproved'] as const) {
      fixture.desks.forEach(desk => { desk.next.length = 0 })
      setNext(behaviour)
      const answer = await call({ id: `b-${behaviour}`, path: '/booking/x', body: 'bench 4' })
      expect([behaviour, answer.status]).toEqual([behaviour, 502])
    }
  })

  it('should resume a stream at another target after its last whole event, in the same answer', async () => {
    setNext('break-off')
    fixture.engines[1]!.next.length = 0
    const ids = ['s1', 's2', 's3', 's4']
    const answers = await Promise.all(ids.map(async id => await turn(id, {}, 'x', '/turns/resumable/a')))
    expect(answers.map(answer => answer.body)).toEqual(ids.map(() => STREAM))
  })

  it('should not mix the failure of a second target into a stream that has begun', async () => {
    // Which target comes first is chosen at random; only the order in which the stream has begun is of interest.
    const begun: PlatformAnswer[] = []
    for (let at = 0; at < 40 && begun.length === 0; at++) {
      fixture.engines[0]!.next.splice(0, 1, 'break-off')
      fixture.engines[1]!.next.splice(0, 1, 'fail')
      const answer = await turn(`s${at}`, { 'x-program-id': `p-${at}` }, `turn ${at}`, '/turns/resumable/a')
      if (answer.status === 200) begun.push(answer)
    }
    expect(begun.map(answer => [answer.body, answer.isWhole])).toEqual([['id: 1\ndata: first\n\n', false]])
  })

  it('should cut a stream that may not be resumed where its target cut it', async () => {
    setNext('break-off')
    const answer = await turn('t1', {}, 'x')
    expect(answer.body).toEqual('id: 1\ndata: first\n\n')
    expect(answer.isWhole).toEqual(false)
  })

  it('should give up a stream at its target when the caller leaves', async () => {
    let open = (): void => {}
    for (const engine of fixture.engines) engine.gate = new Promise(resolve => { open = resolve })
    const leaving = new AbortController()
    const answer = call({
      id: 't1', path: '/turns/kept/a', body: 'x', signal: leaving.signal, onData: () => { leaving.abort() }
    })
    await answer
    await waitFor(() => fixture.engines.some(engine => engine.runs.some(run => run.isAbandoned)))
    open()
  })

  it('should answer at the route\'s time limit', async () => {
    fixture.configure({ timeoutMs: 300 })
    await waitFor(() => gateway.getEvents('config-adopted').length === 2)
    setNext('hang')
    const startedAt = Date.now()
    expect((await call({ id: 'b1', path: '/booking/x', body: 'x' })).status).toEqual(504)
    expect(Date.now() - startedAt < 800).toEqual(true)
  })

  it('should follow a new configuration and keep the routes of an older one out', async () => {
    expect((await call({ id: 'r1', path: '/new/x' })).status).toEqual(404)
    fixture.configure({}, ['/new/'])
    await waitFor(() => gateway.getEvents('config-adopted').length === 2)
    expect((await call({ id: 'r2', path: '/new/x' })).status).toEqual(200)
    fixture.store.rows.forgetHistory()
    fixture.configure({}, ['/newer/'])
    await waitFor(() => gateway.getEvents('config-adopted').length === 3)
    expect((await call({ id: 'r3', path: '/newer/x' })).status).toEqual(200)
  })

  it('should reach the store through a peer while its own way is cut', async () => {
    await waitFor(() => gateway.getEvents('listening').length === 1)
    const peer = { address: gateway.getEvents('listening')[0]!.peers, failureDomain: 'here' }
    const cut = new PlatformFixture()
    const cutAddress = await cut.store.start()
    cut.store.put('gateways', 'gateway-1', peer)
    // The gateway learns its peers while its own way is open.
    const other = await GatewayProcess.launch({ id: 'gateway-2', storeAddress: cutAddress })
    try {
      await waitFor(() => other.getEvents('peers-known').length > 0)
      cut.store.rows.failure = 'refused'
      await other.waitUntilReady()
      const headers = { 'x-program-id': 'p9', 'x-token-budget': '1000', 'x-token-usage': '10,50' }
      const answer = await callPlatform(other.callers, { id: 't1', path: '/turns/kept/a', body: 'x', headers })
      expect(answer.status).toEqual(200)
      expect(fixture.store.rows.getRow({ table: 'turns', part: getPart('t1'), key: 't1/0000' }) === undefined).toEqual(false)
    } finally {
      await other.kill()
      cut.close()
    }
  })

  it('should finish what it has read when it is told to stop, and exit', async () => {
    let open = (): void => {}
    const gate = new Promise<void>(resolve => { open = resolve })
    for (const engine of fixture.engines) engine.gate = gate
    const answer = turn('t1', {}, 'x')
    await waitFor(() => getRuns('t1').length === 1)
    gateway.signal('SIGTERM')
    await waitFor(() => gateway.getEvents('stopping').length === 1)
    expect(await gateway.getReadiness()).toEqual(503)
    const late = await call({ id: 'r1', path: '/lookup/x' })
    expect([late.status, late.headers.connection]).toEqual([200, 'close'])
    open()
    expect((await answer).isWhole).toEqual(true)
    expect(await gateway.waitForExit()).toEqual(0)
  })

  it('should take changed settings, and go on with the old ones when they have findings', async () => {
    gateway.writeSettings('id = 5')
    gateway.signal('SIGHUP')
    await waitFor(() => gateway.getEvents('settings-rejected').length === 1)
    expect((await call({ id: 'r1', path: '/lookup/x' })).status).toEqual(200)
    const moved = new PlatformFixture()
    await moved.start()
    try {
      // No signal: the file is looked at now and then.
      gateway.writeSettings(gateway.getSettings({ storeAddress: moved.storeAddress }))
      await waitFor(() => gateway.getEvents('settings-taken').length === 1)
      const headers = { 'x-program-id': 'p9', 'x-token-budget': '1000', 'x-token-usage': '10,50' }
      await call({ id: 't1', path: '/turns/kept/a', body: 'x', headers })
      await waitFor(() => moved.store.rows.getRow({ table: 'turns', part: getPart('t1'), key: 't1/0000' }) !== undefined)
    } finally {
      moved.close()
    }
  })

  it('should refuse bytes that could be read in two ways, and what exceeds the limits', async () => {
    const start = `POST /booking/x HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: raw\r\n`
    const cases: Array<[string, string]> = [
      [`${start}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, '400'],
      [`${start}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd`, '400'],
      [`${start}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n`, '400'],
      [`${start}X-Long: ${'x'.repeat(5_000)}\r\n\r\n`, '431'],
      [`${start}Content-Length: 70000\r\n\r\n`, '413'],
      [`${start}Host: other.example\r\n\r\n`, '400'],
      ['NONSENSE\r\n\r\n', '400']
    ]
    for (const [bytes, status] of cases) {
      const answer = await sendBytes(gateway.callers, bytes)
      expect([bytes.slice(0, 120), answer.slice(0, 12)]).toEqual([bytes.slice(0, 120), `HTTP/1.1 ${status}`])
    }
    expect(getRuns('raw')).toEqual([])
  })
})

function getPart (id: string): string {
  return String(createHash('sha1').update(id).digest().readUInt16BE(0) % 64)
}

/** Sends bytes as they are and resolves with what comes back first. */
async function sendBytes (address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':')
  return await new Promise((resolve, reject) => {
    const socket = connect(Number(port), host!, () => { socket.write(bytes) })
    socket.once('data', data => {
      socket.destroy()
      resolve(data.toString())
    })
    socket.once('error', reject)
  })
}

/** Waits until a condition holds. */
async function waitFor (isTrue: () => boolean): Promise<void> {
  const deadline = Date.now() + 10_000
  while (!isTrue()) {
    if (Date.now() > deadline) throw new Error('The condition did not come true.')
    await new Promise(resolve => { setTimeout(resolve, 10) })
  }
}
