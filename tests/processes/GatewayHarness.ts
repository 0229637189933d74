import { connect } from 'node:net'
import { RESERVE_SLOTS } from '../../src/core/reserve/index.js'
import { getTurnPartitions } from '../../src/core/turn/index.js'
import type { EngineBehaviour } from '../../tools/platform/EngineStandin.js'
import { GatewayProcess, type GatewayProcessOptions } from '../../tools/platform/GatewayProcess.js'
import { callPlatform, type PlatformCallResponse, type PlatformCall } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'

/** Body that a stand-in for an engine streams. */
export const STREAM_BODY = 'id: 1\ndata: first\n\nid: 2\ndata: second\n\nid: 3\ndata: third\n\n'

/** Runs one gateway with stand-ins for the platform, and gives tests access to them. */
export class GatewayHarness {
  readonly fixture = new PlatformFixture()
  gateway!: GatewayProcess
  private _isStarted = false

  /** Starts the stand-ins and the gateway. */
  async start (): Promise<void> {
    await this.fixture.start()
    await this.startGateway()
  }

  /** Starts a gateway that replaces the previous one. */
  async startGateway (options: Partial<GatewayProcessOptions> = {}): Promise<void> {
    this._isStarted = false
    this.gateway = await GatewayProcess.start({ id: 'gateway-1', storeAddress: this.fixture.storeAddress, ...options })
    this._isStarted = true
  }

  /** Waits until the gateway has read that every reserve slot has a holder; slots are claimed in several transactions. */
  async waitForReserves (): Promise<void> {
    await waitFor(() => this.gateway.getEvents('reserves-known').some(event => event.slots === RESERVE_SLOTS))
  }

  /** Stops the gateway and the stand-ins. */
  async stop (): Promise<void> {
    if (this._isStarted) await this.gateway.kill()
    this.fixture.close()
  }

  /** Sends a request to the gateway. */
  async call (options: PlatformCall): Promise<PlatformCallResponse> {
    return await callPlatform(this.gateway.callerAddress, options)
  }

  /** Sends a turn of a program. */
  async sendTurn (id: string, headers: Record<string, string>, body: string, path = '/turns/kept/a'): Promise<PlatformCallResponse> {
    const program = { 'x-program-id': 'p1', 'x-token-budget': '1000', 'x-token-usage': '10,50' }
    return await this.call({ id, path, body, headers: { ...program, ...headers } })
  }

  /** Gets the request bodies of all runs of a request, across all targets. */
  getRuns (id: string): string[] {
    const runs = [...this.fixture.engines, ...this.fixture.desks].flatMap(standin => standin.runs)
    return runs.filter(run => run.id === id).map(run => run.body)
  }

  /** Sets the behaviour of all targets, or only of the first plain service, for their next request. */
  setNextBehaviour (behaviour: EngineBehaviour, forAllTargets = true): void {
    const standins = forAllTargets ? [...this.fixture.engines, ...this.fixture.desks] : [this.fixture.desks[0]!]
    for (const standin of standins) standin.nextBehaviours.push(behaviour)
  }
}

/** Gets the partition of the store that holds a turn while all partitions are available. */
export function getPartition (id: string): string {
  return getTurnPartitions(id)[0]!
}

/** Sends raw bytes and resolves with the first chunk of the response. */
export async function sendBytes (address: string, bytes: string): Promise<string> {
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
export async function waitFor (condition: () => boolean): Promise<void> {
  const deadline = Date.now() + 10_000
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`condition not met within 10 s: ${condition.toString()}`)
    await new Promise(resolve => { setTimeout(resolve, 10) })
  }
}
