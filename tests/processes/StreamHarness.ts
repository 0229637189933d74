import { callPlatform, type PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import type { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import type { PlatformFixture } from '../../tools/platform/PlatformFixture.js'

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

/** Options of {@link continueStreams}. */
export interface ContinueOptions {
  readonly fixture: PlatformFixture
  readonly streams: readonly BegunStream[]
  readonly gateways: readonly GatewayProcess[]
  /** Whether callers name the attempt that began their stream; they do by default. */
  readonly isNamed?: boolean
}

/** Gets the different software versions that the events of a stream state. */
export function getVersions (body: string): string[] {
  return [...new Set([...body.matchAll(/^data: (v[0-9]+) /gm)].map(match => match[1]!))]
}

/** Begins streams, in rotation over gateways, and waits for the first event of each. */
export async function beginStreams (count: number, gateways: readonly GatewayProcess[]): Promise<BegunStream[]> {
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
export async function continueStreams ({ fixture, streams, gateways, isNamed = true }: ContinueOptions): Promise<ContinuationCounts> {
  const responses = await Promise.all(streams.map(async ({ id, version }, index) => {
    const headers = { 'last-event-id': '1', ...(isNamed ? { resumes: id } : {}) }
    const call = { id: `${id}-again`, path: '/turns/resumable/a', body: 'in', headers }
    const response = await callPlatform(gateways[index % gateways.length]!.callerAddress, call)
    const hasRun = fixture.engines.some(engine => engine.runs.some(run => run.id === `${id}-again`))
    return { ...response, isSameVersion: getVersions(response.body).every(other => other === version), hasRun }
  }))
  return {
    continued: responses.filter(response => response.status === 200 && response.isComplete && response.isSameVersion).length,
    joined: responses.filter(response => !response.isSameVersion).length,
    refused: responses.filter(response => response.status === 503 && !response.hasRun).length
  }
}
