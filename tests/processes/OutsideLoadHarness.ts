import { expect } from 'earl'
import { GatewayHarness } from './GatewayHarness.js'
import { BODY_BYTES, HEAD_BYTES, runLoad, type OutsideLoad } from './OutsideCallers.js'

/** Bytes of the response that callers do not read. */
const RESPONSE = Buffer.alloc(2_097_152, 'x')

/** Milliseconds after a load within which an ordinary request must be answered, and between two tries. */
const RECOVERY_MS = 10_000
const RETRY_MS = 100

/** Size of the gateway process that gets a load. */
export interface OutsideLoadOptions {
  readonly heapMb: number
  /** Descriptors that the process may open. */
  readonly maxFds: number
}

/** A load on one address of the gateway, and the bounds of what the process may use. */
export interface EnduredLoad {
  readonly load: OutsideLoad
  readonly address: string
  readonly path: string
  readonly connections: number
  readonly maxResidentBytes: number
  readonly maxDescriptors: number
}

/** A gateway process that gets loads of callers outside the limits. */
export class OutsideLoadHarness {
  readonly harness = new GatewayHarness()

  /** Starts the gateway; plain services respond to `/lookup/large` with {@link RESPONSE}, and not at all to `/lookup/silent`. */
  async start (options: OutsideLoadOptions): Promise<void> {
    const { fixture } = this.harness
    await fixture.start()
    fixture.maxBodyBytes = BODY_BYTES
    fixture.configure({}, [], { limits: { maxHeaderBytes: HEAD_BYTES, headerTimeoutMs: 3_000 } })
    for (const desk of fixture.desks) {
      desk.responders.set('/lookup/large', (run, res) => { res.writeHead(200, { 'x-request-id': run.id, 'x-response-signature': 's' }).end(RESPONSE) })
      desk.responders.set('/lookup/silent', () => {})
    }
    await this.harness.startGateway(options)
  }

  /** Checks that the process lives, stays within its bounds, and answers an ordinary request after a load. */
  async checkEndures ({ load, address, path, connections, maxResidentBytes, maxDescriptors }: EnduredLoad): Promise<void> {
    const { gateway } = this.harness
    const use = await runLoad(load, { pid: gateway.pid, address, path, connections })
    const isAnswered = !gateway.hasExited() && await this._isOrdinaryRequestAnswered()
    const context = `${Math.round(use.residentBytes / 1e6)} MB, ${use.descriptors} descriptors`
    const lives = !gateway.hasExited()
    const isWithinMemory = use.residentBytes < maxResidentBytes
    const isWithinDescriptors = use.descriptors < maxDescriptors
    expect({ context, lives, isWithinMemory, isWithinDescriptors, isAnswered }).toEqual({
      context, lives: true, isWithinMemory: true, isWithinDescriptors: true, isAnswered: true
    })
  }

  private async _isOrdinaryRequestAnswered (): Promise<boolean> {
    const deadline = Date.now() + RECOVERY_MS
    for (let at = 0; Date.now() < deadline; at++) {
      const { status } = await this.harness.call({ id: `ordinary${at}`, path: '/lookup/x', method: 'POST', body: 'x'.repeat(1_024) })
      if (status === 200 && await this.harness.gateway.getReadiness() === 200) return true
      await new Promise(resolve => { setTimeout(resolve, RETRY_MS) })
    }
    return false
  }
}
