import { Agent, errors, type Dispatcher } from 'undici'
import type { CallProtocol, CallRequest, DispatchOptions, ResponseHead } from '../../core/forward/index.js'
import { ResponseHandler } from './ResponseHandler.js'

/** Milliseconds in which a connection to a target must open; enough for a round trip between regions to a busy target. */
export const CONNECT_TIMEOUT_MS = 500

/** Longest time in milliseconds for which an idle connection is reused, also when the target announces a longer one. */
const MAX_KEEP_ALIVE_MS = 30_000

/** Milliseconds for which an idle connection is reused when the target announces no idle time-out; it may close the connection any time. */
const UNANNOUNCED_KEEP_ALIVE_MS = 700

/** Milliseconds before a target's announced idle time-out at which a connection is closed. */
const KEEP_ALIVE_MARGIN_MS = 700

/** Status of the interim responses, whose headers count as those of one. */
const INTERIM_STATUS = 100

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
  readonly signal: AbortSignal
}

/** Sends requests to targets, one at a time on a connection. */
export class TargetClient {
  private readonly _protocol: CallProtocol
  private readonly _agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: UNANNOUNCED_KEEP_ALIVE_MS,
    keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1
  })

  constructor (protocol: CallProtocol) {
    this._protocol = protocol
  }

  /** Sends a request and resolves when the head of the response has arrived; rejects with a {@link TargetError}. */
  async send (request: TargetRequest): Promise<TargetResponse> {
    const { call, dispatch, body, signal } = request
    const handler = new ResponseHandler(signal)
    try {
      // The agent sends the path unchanged; a URL object would normalize it.
      this._agent.dispatch({
        origin: `http://${dispatch.target.address}`,
        path: call.requestTarget,
        method: call.method as Dispatcher.HttpMethod,
        headers: this._protocol.getTargetHeaders(call, dispatch),
        body: body ?? null
      }, handler)
      const response = await handler.response
      const head = this._protocol.decodeResponse(response.status, response.headers)
      const { isLeaving } = this._protocol.decodeResponse(INTERIM_STATUS, handler.interimHeaders)
      return { head: { ...head, isLeaving: head.isLeaving || isLeaving }, body: response.body, discard: response.abort }
    } catch (err) {
      throw new TargetError(err instanceof Error ? err.message : String(err), !handler.isSent || isConnectError(err))
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}

function isConnectError (err: unknown): boolean {
  const code = (err as { code?: string } | undefined)?.code
  return err instanceof errors.ConnectTimeoutError || code === 'ECONNREFUSED' || code === 'EHOSTUNREACH'
}
