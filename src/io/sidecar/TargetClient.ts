import { Agent, errors, request, type Dispatcher } from 'undici'
import type { Dispatch } from '../../core/call/index.js'
import { isFinalStatus } from '../../core/forward/index.js'
import type { RunTermination } from '../../core/sidecar/index.js'

/** Callbacks of a target client during a run. */
export interface RunObserver {
  /** Gets the number of tokens that the run may still generate. */
  readonly getRemainingTokens: () => number
  /** Receives bytes of the response and the number of tokens in them. */
  readonly onBytes: (bytes: Buffer, tokens: number) => void
}

/** Options of {@link TargetClient}. */
export interface TargetClientOptions {
  /** Base URL of the target. */
  readonly url: string
  readonly connectTimeoutMs: number
}

/** Sends requests to the sidecar's target; never retries one. */
export abstract class TargetClient {
  protected readonly options: TargetClientOptions
  private readonly _agent: Agent

  constructor (options: TargetClientOptions) {
    this.options = options
    // The core enforces deadlines and aborts overdue requests, so the agent has no time-outs besides that of the connection.
    this._agent = new Agent({ connect: { timeout: options.connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0, connections: null })
  }

  /** Runs a request until it completes, fails or is aborted; never rejects. */
  async run (dispatch: Dispatch, signal: AbortSignal, observer: RunObserver): Promise<RunTermination> {
    try {
      return await this.send(dispatch, signal, observer)
    } catch (err) {
      return this.toFailureTermination(err, signal)
    }
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  /** Sends the request and reads the whole response. */
  protected abstract send (dispatch: Dispatch, signal: AbortSignal, observer: RunObserver): Promise<RunTermination>

  /** Builds the termination of a run that was aborted or whose connection failed. */
  protected abstract toFailureTermination (err: unknown, signal: AbortSignal): RunTermination

  /** Sends a request; rejects if the response has no valid status, which shows nothing of what the target has done. */
  protected async request (method: 'GET' | 'POST' | 'DELETE', path: string, init: RequestInit = {}): Promise<Dispatcher.ResponseData> {
    const res = await request(`${this.options.url}${path}`, { method, dispatcher: this._agent, ...init })
    if (isFinalStatus(res.statusCode)) return res
    // Its abort is an error of the stream, which nobody reads.
    res.body.on('error', () => {}).destroy()
    throw new Error(`The target responded with status ${res.statusCode}.`)
  }
}

/** Headers, body and abort signal of a request to a target. */
export interface RequestInit {
  readonly headers?: Record<string, string>
  readonly body?: string
  readonly signal?: AbortSignal
}

/** Checks whether an error proves that the target accepted no connection, so that the request has not run. */
export function isConnectFailure (err: unknown): boolean {
  if (err instanceof errors.ConnectTimeoutError) return true
  return err instanceof Error && (err as NodeJS.ErrnoException).code === 'ECONNREFUSED'
}
