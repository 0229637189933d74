import { Agent, request } from 'undici'
import type { CircuitBreaker } from '../../core/limits/index.js'

/** Options of {@link PlatformHttp}. */
export interface PlatformHttpOptions {
  readonly baseUrl: string
  readonly timeoutMs: number
  readonly breaker?: CircuitBreaker
}

/** A response of a platform service. */
export interface PlatformResponse {
  readonly status: number
  readonly body: Buffer
  /** Entity tag of the body, or an empty string. */
  readonly etag: string
}

/** Sends requests to one platform service; every request has a time-out. */
export class PlatformHttp {
  private readonly _options: PlatformHttpOptions
  private readonly _agent: Agent

  constructor (options: PlatformHttpOptions) {
    this._options = options
    this._agent = new Agent({ connect: { timeout: options.timeoutMs }, headersTimeout: options.timeoutMs, bodyTimeout: options.timeoutMs })
  }

  /** Sends a request, conditional if an entity tag is given; rejects on a time-out, a server error or an open circuit breaker. */
  async send (method: 'GET' | 'POST' | 'PUT', path: string, body?: string | Uint8Array, etag = ''): Promise<PlatformResponse> {
    const { breaker, baseUrl, timeoutMs } = this._options
    if (breaker !== undefined && !breaker.tryPass(Date.now())) throw new Error('The breaker of the platform service is open.')
    try {
      const res = await request(`${baseUrl}${path}`, {
        method,
        dispatcher: this._agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {
          'content-type': typeof body === 'string' ? 'application/json' : 'application/octet-stream',
          ...(etag === '' ? {} : { 'if-none-match': etag })
        },
        ...(body === undefined ? {} : { body })
      })
      const bytes = Buffer.from(await res.body.arrayBuffer())
      if (res.statusCode >= 500) throw new Error(`The platform answered ${res.statusCode}.`)
      breaker?.recordSuccess()
      return { status: res.statusCode, body: bytes, etag: String(res.headers.etag ?? '') }
    } catch (err) {
      breaker?.recordFailure(Date.now())
      throw err
    }
  }

  /** Closes the connections to the service. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}
