import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { GatewayHarness, waitFor } from './GatewayHarness.js'
import { RawCaller, toBytes } from './RawCaller.js'

describe('time-outs of callers\' connections', () => {
  let harness: GatewayHarness
  let callers: RawCaller[]

  beforeEach(async () => {
    callers = []
    harness = new GatewayHarness()
    await harness.start()
  })

  afterEach(async () => {
    for (const caller of callers) caller.close()
    await harness.stop()
  })

  async function connect (): Promise<RawCaller> {
    const caller = await RawCaller.connect(harness.gateway.callerAddress)
    callers.push(caller)
    return caller
  }

  async function setLimits (limits: { headerTimeoutMs?: number, idleTimeoutMs?: number }): Promise<void> {
    const count = harness.gateway.getEvents('config-adopted').length
    harness.fixture.configure({}, [], { limits: { ...limits } })
    await waitFor(() => harness.gateway.getEvents('config-adopted').length > count)
  }

  /** Sends a request and waits for its response. */
  async function send (caller: RawCaller, id: string, path = '/booking/x'): Promise<number | undefined> {
    const count = caller.getStatuses().length
    caller.write(toBytes({ id, path, body: 'bench 4' }))
    return (await caller.waitForResponses(count + 1))[count]
  }

  // The review's case 1: answered 408 and run all the same. headerTimeoutMs is 1,000.
  it('should serve a request whose head is completed while the gateway is paused', async () => {
    const bytes = [1, 2, 3, 4].map(index => toBytes({ id: `b${index}`, path: '/booking/x', body: 'bench 4' }))
    for (const text of bytes) (await connect()).write(text.slice(0, 30))
    await sleep(200)
    harness.gateway.signal('SIGSTOP')
    bytes.forEach((text, index) => { callers[index]!.write(text.slice(30)) })
    await sleep(2_500)
    harness.gateway.signal('SIGCONT')
    for (const caller of callers) expect(await caller.waitForResponses(1)).toEqual([200])
    expect([1, 2, 3, 4].map(index => harness.getRuns(`b${index}`).length)).toEqual([1, 1, 1, 1])
  })

  it('should not run a request that it has answered with 408, however late its rest arrives', async () => {
    const caller = await connect()
    const bytes = toBytes({ id: 'b1', path: '/booking/x', body: 'bench 4' })
    caller.write(bytes.slice(0, 30))
    await caller.waitForResponses(1)
    caller.write(bytes.slice(30))
    await sleep(300)
    expect([caller.getStatuses(), harness.getRuns('b1')]).toEqual([[408], []])
  })

  it('should serve a request that arrives on an idle connection while the gateway is paused', async () => {
    await setLimits({ idleTimeoutMs: 1_000 })
    const caller = await connect()
    expect(await send(caller, 'b1')).toEqual(200)
    await sleep(500)
    harness.gateway.signal('SIGSTOP')
    await sleep(300)
    caller.write(toBytes({ id: 'b2', path: '/booking/x', body: 'bench 4' }))
    await sleep(3_000)
    harness.gateway.signal('SIGCONT')
    expect(await caller.waitForResponses(2)).toEqual([200, 200])
  })

  it('should close a connection that stays idle', async () => {
    await setLimits({ idleTimeoutMs: 1_000 })
    const caller = await connect()
    expect(await send(caller, 'b1')).toEqual(200)
    await waitFor(() => caller.isClosed)
    expect(caller.errorCode).toEqual(undefined)
  })

  it('should keep a connection for the time that was announced on it when a configuration shortens the idle time-out', async () => {
    let openGate = (): void => {}
    for (const engine of harness.fixture.engines) engine.gate = new Promise(resolve => { openGate = resolve })
    const caller = await connect()
    caller.write(toBytes({ id: 't1', path: '/turns/resumable/x', body: 'turn' }))
    await waitFor(() => caller.received.includes('first'))
    expect(Number(/Keep-Alive: timeout=(\d+)/i.exec(caller.received)?.[1]) >= 15).toEqual(true)
    await setLimits({ idleTimeoutMs: 500 })
    openGate()
    await waitFor(() => caller.received.includes('third'))
    await sleep(5_000)
    expect(await send(caller, 'b1')).toEqual(200)
  })

  it('should keep an idle connection for longer when a configuration lengthens the idle time-out', async () => {
    await setLimits({ idleTimeoutMs: 1_000 })
    const caller = await connect()
    expect(await send(caller, 'b1')).toEqual(200)
    await setLimits({ idleTimeoutMs: 15_000 })
    await sleep(4_000)
    expect(await send(caller, 'b2')).toEqual(200)
  })

  it('should serve a request whose head began before a configuration shortened the header time-out', async () => {
    await setLimits({ headerTimeoutMs: 5_000 })
    const caller = await connect()
    const bytes = toBytes({ id: 'b1', path: '/booking/x', body: 'bench 4' })
    caller.write(bytes.slice(0, 30))
    await sleep(600)
    await setLimits({ headerTimeoutMs: 200 })
    await sleep(2_000)
    caller.write(bytes.slice(30))
    expect(await caller.waitForResponses(1)).toEqual([200])
  })

  it('should not answer a running request with the 408 of a head that follows it on the connection', async () => {
    for (const desk of harness.fixture.desks) desk.workMs = 1_900
    const caller = await connect()
    caller.write(toBytes({ id: 'b1', path: '/booking/x', body: 'bench 4' }))
    await sleep(50)
    caller.write('POST /booking/x HTTP/1.1\r\nHost:')
    expect((await caller.waitForResponses(1))[0]).toEqual(200)
  })

  it('should not answer a running request with the refusal of malformed bytes that follow it on the connection', async () => {
    for (const desk of harness.fixture.desks) desk.workMs = 300
    const caller = await connect()
    caller.write(toBytes({ id: 'b1', path: '/booking/x', body: 'bench 4' }))
    await waitFor(() => harness.getRuns('b1').length === 1)
    caller.write('NONSENSE\r\n\r\n')
    await waitFor(() => caller.isClosed)
    expect(caller.getStatuses()).toEqual([200, 400])
  })
})
