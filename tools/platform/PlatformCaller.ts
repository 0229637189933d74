import { request, type Agent, type IncomingHttpHeaders } from 'node:http'
import { FIXTURE_HOST } from './PlatformFixture.js'

/** One request of a caller. */
export interface PlatformCall {
  readonly method?: string
  readonly path: string
  readonly id: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  /** Called with each chunk of the response body. */
  readonly onData?: (text: string) => void
  /** Closes the connection when aborted. */
  readonly signal?: AbortSignal
  /** Loopback address from which the connection is made; the system's choice without it. */
  readonly localAddress?: string | undefined
  /** Keeps connections open between requests; a new connection without it. */
  readonly agent?: Agent
}

/** Response received by a caller. */
export interface PlatformCallResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** False when the connection was closed before the response was complete. */
  readonly isComplete: boolean
}

/** Sends one request; status 0 means that the connection was closed without a response. */
export async function callPlatform (address: string, call: PlatformCall): Promise<PlatformCallResponse> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const req = request({
      host,
      port: Number(port),
      method: call.method ?? (call.body === undefined ? 'GET' : 'POST'),
      path: call.path,
      agent: call.agent ?? false,
      localAddress: call.localAddress,
      signal: call.signal,
      headers: { host: FIXTURE_HOST, 'x-request-id': call.id, 'x-timeout-ms': '3000', ...call.headers }
    }, res => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => {
        chunks.push(chunk)
        call.onData?.(chunk.toString())
      })
      const finish = (): void => {
        resolve({ status: res.statusCode!, headers: res.headers, body: Buffer.concat(chunks).toString(), isComplete: res.complete })
      }
      res.on('end', finish).on('error', finish).on('close', finish)
    })
    req.on('error', () => { resolve({ status: 0, headers: {}, body: '', isComplete: false }) })
    req.end(call.body)
  })
}
