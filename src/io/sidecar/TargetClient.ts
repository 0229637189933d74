import { Agent, errors, request, type Dispatcher } from 'undici'
import type { Dispatch } from '../../core/call/index.js'
import type { RunTermination } from '../../core/sidecar/index.js'

/** What a target client tells about a run while it goes on. */
export interface RunObserver {
  /** Gets the tokens that may still be generated. */
  readonly getRemainingTokens: () => number
  /** Takes bytes for the caller and the number of tokens in them. */
  readonly onBytes: (bytes: Buffer, tokens: number) => void
}

/** Options of {@link TargetClient}. */
export interface TargetClientOptions {
  /** Base URL of the target. */
  readonly url: string
  readonly connectTimeoutMs: number
}

/** Sends requests to the target beside the sidecar; each is sent once. */
export abstract class TargetClient {
  protected readonly options: TargetClientOptions
  private readonly _agent: Agent

  constructor (options: TargetClientOptions) {
    this.options = options
    // Deadlines are enforced by the core, so the agent waits for as long as it is told to.
    this._agent = new Agent({ connect: { timeout: options.connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0, connections: null })
  }

  /** Runs a request until it ends or is aborted; never rejects. */
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

  /** Sends the request and reads the whole answer. */
  protected abstract send (dispatch: Dispatch, signal: AbortSignal, observer: RunObserver): Promise<RunTermination>

  /** Gets the end of a run that was broken off. */
  protected abstract toFailureTermination (err: unknown, signal: AbortSignal): RunTermination

  protected async request (method: 'GET' | 'POST' | 'DELETE', path: string, init: RequestInit = {}): Promise<Dispatcher.ResponseData> {
    return await request(`${this.options.url}${path}`, { method, dispatcher: this._agent, ...init })
  }
}

/** Parts of a request to a target. */
export interface RequestInit {
  readonly headers?: Record<string, string>
  readonly body?: string
  readonly signal?: AbortSignal
}

/** Tells whether an error proves that the target accepted no connection. */
export function isConnectFailure (err: unknown): boolean {
  if (err instanceof errors.ConnectTimeoutError) return true
  return err instanceof Error && (err as NodeJS.ErrnoException).code === 'ECONNREFUSED'
}
