import type { Agent, Dispatcher } from 'undici'
import type { CallProtocol, CallRequest, DispatchOptions, ResponseHead } from '../../core/forward/index.js'
import { ResponseHandler, type TargetResponse } from './ResponseHandler.js'
import { createTargetAgent, type TargetDispatchOptions } from './TargetConnection.js'

/** Milliseconds in which a connection to a target must open; enough for a round trip between regions to a busy target. */
export const CONNECT_TIMEOUT_MS = 500

/** Longest time in milliseconds for which an idle connection is reused, also when the target announces a longer one. */
const MAX_KEEP_ALIVE_MS = 30_000

/** Milliseconds for which an idle connection is reused when the target announces no idle time-out; it may close the connection any time. */
const UNANNOUNCED_KEEP_ALIVE_MS = 700

/** Milliseconds before a target's announced idle time-out at which a connection is closed. */
const KEEP_ALIVE_MARGIN_MS = 700

/** Error of a request that got no response. */
export class TargetError extends Error {
  /** True when no byte of the request was sent. */
  readonly isNotRun: boolean
  /** True when the target accepted no connection. */
  readonly isUnreachable: boolean

  constructor (message: string, { isNotRun, isUnreachable = isNotRun }: { isNotRun: boolean, isUnreachable?: boolean }) {
    super(message)
    this.name = 'TargetError'
    this.isNotRun = isNotRun
    this.isUnreachable = isUnreachable
  }
}

/** A request to a target. */
export interface TargetRequest {
  readonly call: CallRequest
  readonly dispatch: DispatchOptions
  readonly body: Buffer | undefined
  readonly signal: AbortSignal
  /** Checks when the request is about to be written whether its headers and the choice of its target still hold. */
  readonly isCurrent: () => boolean
  /** True when the address has received the request before; a late copy of its first response has the same id. */
  readonly isRepeated: boolean
}

/** Sends requests to targets, one at a time on a connection. */
export class TargetClient {
  private readonly _protocol: CallProtocol
  private readonly _agent = createAgent()
  /** Its connections carry one request each, so that no response to an earlier one can arrive. */
  private readonly _singleUseAgent = createAgent()

  constructor (protocol: CallProtocol) {
    this._protocol = protocol
  }

  /** Sends a request and resolves when the head of the response has arrived; rejects with a {@link TargetError}. */
  async send (request: TargetRequest): Promise<TargetResponse> {
    const { call, dispatch, body, signal, isCurrent, isRepeated } = request
    const decode = (status: number, headers: readonly string[]): ResponseHead => this._protocol.decodeResponse(status, headers)
    const handler = new ResponseHandler({ requestId: call.id, signal, isCurrent, decode })
    try {
      // The agent sends the path unchanged; a URL object would normalize it.
      const agent = isRepeated ? this._singleUseAgent : this._agent
      const options: TargetDispatchOptions = {
        origin: `http://${dispatch.target.address}`,
        path: call.requestTarget,
        method: call.method as Dispatcher.HttpMethod,
        headers: this._protocol.getTargetHeaders(call, dispatch),
        body: body ?? null,
        reader: handler,
        ...(isRepeated ? { reset: true } : {})
      }
      agent.dispatch(options, handler)
      return await handler.response
    } catch (err) {
      const isNotRun = !handler.isSent
      throw new TargetError(err instanceof Error ? err.message : String(err), { isNotRun, isUnreachable: isNotRun && !handler.isOutdated })
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([this._agent.destroy(), this._singleUseAgent.destroy()])
  }
}

function createAgent (): Agent {
  return createTargetAgent({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveTimeout: UNANNOUNCED_KEEP_ALIVE_MS,
    keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1
  })
}
