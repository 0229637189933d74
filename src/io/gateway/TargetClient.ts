import { Agent, errors, type Dispatcher } from 'undici'
import type { CallProtocol, CallRequest, DispatchOptions, ResponseHead } from '../../core/forward/index.js'
import { ResponseHandler } from './ResponseHandler.js'

/** Milliseconds in which a connection to a target must open; enough for a round trip between regions to a busy target. */
export const CONNECT_TIMEOUT_MS = 500

/** Milliseconds for which an idle connection is reused for requests that may be repeated. */
const KEEP_ALIVE_MS = 4_000

/** Milliseconds for which an idle connection is reused for requests that run at most once, which a stale connection would lose. */
const AT_MOST_ONCE_KEEP_ALIVE_MS = 700

/** Milliseconds before a target's announced idle time-out at which a connection is closed. */
const KEEP_ALIVE_MARGIN_MS = 700

/** A response whose head has arrived. */
export interface TargetResponse {
  readonly head: ResponseHead
  readonly body: AsyncIterable<Buffer>
  /** Discards the rest of the response and closes its connection. */
  readonly discard: () => void
}

/** Error of a request that got no response. */
export class TargetError extends Error {
  /** True when no byte of the request was sent. */
  readonly isNotRun: boolean
  /** True when the target accepted no connection. */
  readonly isUnreachable: boolean

  constructor (message: string, isNotRun: boolean) {
    super(message)
    this.name = 'TargetError'
    this.isNotRun = isNotRun
    this.isUnreachable = isNotRun
  }
}

/** A request to a target. */
export interface TargetRequest {
  readonly call: CallRequest
  readonly dispatch: DispatchOptions
  readonly body: Buffer | undefined
  /** True when the request may run again after the connection was lost. */
  readonly isRepeatable: boolean
  readonly signal: AbortSignal
}

/** Sends requests to targets, one at a time on a connection. */
export class TargetClient {
  private readonly _protocol: CallProtocol
  private readonly _repeatable = createAgent(KEEP_ALIVE_MS)
  private readonly _atMostOnce = createAgent(AT_MOST_ONCE_KEEP_ALIVE_MS)

  constructor (protocol: CallProtocol) {
    this._protocol = protocol
  }

  /** Sends a request and resolves when the head of the response has arrived; rejects with a {@link TargetError}. */
  async send (request: TargetRequest): Promise<TargetResponse> {
    const { call, dispatch, body, signal } = request
    const agent = request.isRepeatable ? this._repeatable : this._atMostOnce
    const handler = new ResponseHandler(signal)
    try {
      // The agent sends the path unchanged; a URL object would normalize it.
      agent.dispatch({
        origin: `http://${dispatch.target.address}`,
        path: call.requestTarget,
        method: call.method as Dispatcher.HttpMethod,
        headers: this._protocol.getTargetHeaders(call, dispatch),
        body: body ?? null
      }, handler)
      const response = await handler.response
      return { head: this._protocol.decodeResponse(response.status, response.headers), body: response.body, discard: response.abort }
    } catch (err) {
      throw new TargetError(err instanceof Error ? err.message : String(err), !handler.isSent || isConnectError(err))
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([this._repeatable.destroy(), this._atMostOnce.destroy()])
  }
}

function createAgent (keepAliveMs: number): Dispatcher {
  return new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1
  })
}

function isConnectError (err: unknown): boolean {
  const code = (err as { code?: string } | undefined)?.code
  return err instanceof errors.ConnectTimeoutError || code === 'ECONNREFUSED' || code === 'EHOSTUNREACH'
}
