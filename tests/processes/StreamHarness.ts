import { FaultProxy } from '../../tools/soak/FaultProxy.js'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform, type PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'
import { waitFor } from './GatewayHarness.js'

/** A stream whose first event a caller has received. */
export interface BegunStream {
  readonly id: string
  /** Software version that the first event states. */
  readonly version: string
  /** Resolves when the response has ended or was broken off. */
  readonly response: Promise<PlatformCallResponse>
}

/** What became of streams whose callers sent another try. */
export interface ContinuationCounts {
  /** Streams that were completed at the version that had begun them. */
  readonly continued: number
  /** Streams that got events of another version. */
  readonly joined: number
  /** Streams that were refused and have not run. */
  readonly refused: number
}

/** How the callers of {@link StreamHarness.continueStreams} send their next tries. */
export interface ContinueOptions {
  /** Gateways that get the tries in rotation; all that run by default. */
  readonly gateways?: readonly GatewayProcess[]
  /** Whether callers name the attempt that began their stream; they do by default. */
  readonly isNamed?: boolean
}

/** Gets the different software versions that the events of a stream state. */
export function getVersions (body: string): string[] {
  return [...new Set([...body.matchAll(/^data: (v[0-9]+) /gm)].map(match => match[1]!))]
}

/** Runs gateways before model engines of given software versions, whose streams pause after their first event until they are released. */
export class StreamHarness {
  readonly fixture = new PlatformFixture()
  gateways: GatewayProcess[] = []
  /** Connection to the store of each gateway. */
  proxies: FaultProxy[] = []
  /** Lets all streams go on after their first event. */
  releaseTargets: () => void = () => {}
  private readonly _addresses: string[] = []
  private _gate: Promise<void> = Promise.resolve()

  /** Starts an engine for each version, and gateways that know each other. */
  async start (versions: readonly string[], gateways: number): Promise<void> {
    await this.fixture.start({ engines: versions.length })
    // Before the gateways start, so that they see no other version.
    for (const [at, version] of versions.entries()) this.fixture.setEngineVersion(this.fixture.engines[at]!, version)
    this.gateways = await this._startGateways(gateways)
    await Promise.all(this.gateways.map(async gateway => {
      await waitFor(() => gateway.getEvents('peers-known').some(event => (event.peers as string[]).length === gateways))
    }))
    const gate = new Promise<void>(resolve => { this.releaseTargets = resolve })
    for (const engine of this.fixture.engines) engine.gate = gate
    this._gate = gate
  }

  /** Starts an engine of a software version, whose streams pause as well. */
  async addEngine (version: string): Promise<void> {
    const engine = await this.fixture.addEngine(version)
    engine.gate = this._gate
  }

  /** Stands a gateway still; its connections to the store are lost meanwhile. */
  freeze (at: number): void {
    this.gateways[at]!.signal('SIGSTOP')
    this.proxies[at]!.setMode('reset')
  }

  /** Lets a gateway go on. */
  wake (at: number): void {
    this.proxies[at]!.setMode('open')
    this.gateways[at]!.signal('SIGCONT')
  }

  /** Stops the gateways and the stand-ins. */
  async stop (): Promise<void> {
    this.releaseTargets()
    await this._killGateways()
    for (const proxy of this.proxies) proxy.close()
    this.fixture.close()
  }

  /** Kills all gateways at once and starts others in their place. */
  async restartGateways (options: { whileDown?: () => void } = {}): Promise<void> {
    await this._killGateways()
    options.whileDown?.()
    this.gateways = await this._startGateways(this.gateways.length)
  }

  /** Begins streams, in rotation over gateways, and waits for the first event of each. */
  async beginStreams (count: number, gateways: readonly GatewayProcess[] = this.gateways): Promise<BegunStream[]> {
    return await Promise.all(Array.from({ length: count }, async (_, index) => await new Promise<BegunStream>((resolve, reject) => {
      const id = `r-${index}`
      let text = ''
      const response = callPlatform(gateways[index % gateways.length]!.callerAddress, {
        id,
        path: '/turns/resumable/a',
        body: 'in',
        onData: chunk => {
          text += chunk
          const [version] = getVersions(text)
          if (version !== undefined) resolve({ id, version, response })
        }
      })
      void response.then(() => { reject(new Error(`The stream ${id} ended without an event.`)) })
    })))
  }

  /** Sends the next try for each stream, in rotation over gateways, and counts what became of the streams. */
  async continueStreams (streams: readonly BegunStream[], options: ContinueOptions = {}): Promise<ContinuationCounts> {
    const { gateways = this.gateways, isNamed = true } = options
    const responses = await Promise.all(streams.map(async ({ id, version }, index) => {
      const headers = { 'last-event-id': '1', ...(isNamed ? { resumes: id } : {}) }
      const call = { id: `${id}-again`, path: '/turns/resumable/a', body: 'in', headers }
      const response = await callPlatform(gateways[index % gateways.length]!.callerAddress, call)
      const hasRun = this.fixture.engines.some(engine => engine.runs.some(run => run.id === `${id}-again`))
      return { ...response, isSameVersion: getVersions(response.body).every(other => other === version), hasRun }
    }))
    return {
      continued: responses.filter(response => response.status === 200 && response.isComplete && response.isSameVersion).length,
      joined: responses.filter(response => !response.isSameVersion).length,
      refused: responses.filter(response => response.status === 503 && !response.hasRun).length
    }
  }

  private async _startGateways (count: number): Promise<GatewayProcess[]> {
    while (this.proxies.length < count) this.proxies.push(new FaultProxy(this.fixture.storeAddress))
    return await Promise.all(Array.from({ length: count }, async (_, at) =>
      await GatewayProcess.start({ id: `gateway-${at}`, storeAddress: await this._getStoreAddress(at) })))
  }

  private async _getStoreAddress (at: number): Promise<string> {
    this._addresses[at] ??= await this.proxies[at]!.start()
    return this._addresses[at]
  }

  private async _killGateways (): Promise<void> {
    await Promise.all(this.gateways.map(async gateway => { await gateway.kill() }))
  }
}
