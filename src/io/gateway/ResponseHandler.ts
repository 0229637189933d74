import type { Dispatcher } from 'undici'
import { isFinalStatus, type ResponseHead } from '../../core/forward/index.js'
import type { ConnectionReader, TargetConnection } from './TargetConnection.js'

/** Bytes of a response that are buffered for a slow caller before reading from the target is paused. */
const MAX_BUFFERED_BYTES = 65_536

/** Interim responses (status 1xx) that are accepted before the response. */
const MAX_INTERIM_RESPONSES = 16

/** Lowest statuses of interim and of final responses; the headers of all interim responses count as those of one. */
const INTERIM_STATUS = 100
const FINAL_STATUS = 200

/** A response whose head has arrived. */
export interface TargetResponse {
  readonly head: ResponseHead
  readonly body: AsyncIterable<Buffer>
  /** Identifies the TCP connection on which the response arrives. */
  readonly connection: object
  /** Discards the rest of the response and closes its connection. */
  readonly discard: () => void
}

/** Options of {@link ResponseHandler}. */
export interface ResponseHandlerOptions {
  /** Id of the request, which its response states. */
  readonly requestId: string
  readonly signal: AbortSignal
  /** Checks whether the request may still be written. */
  readonly isCurrent: () => boolean
  /** Decodes the head of a response; headers are names and values in alternation. */
  readonly decode: (status: number, headers: readonly string[]) => ResponseHead
}

/** Receives one response: its head as a promise, its body as an iterable with back-pressure. */
export class ResponseHandler implements Dispatcher.DispatchHandler, ConnectionReader {
  /** True as soon as the request may have been written to a connection. */
  isSent = false
  /** True when the request was not written because it had waited too long for a connection. */
  isOutdated = false
  readonly response: Promise<TargetResponse>
  private _resolve: (response: TargetResponse) => void = () => {}
  private _reject: (err: Error) => void = () => {}
  private _controller: Dispatcher.DispatchController | undefined
  private _connection: TargetConnection | undefined
  private _interimResponses = 0
  /** Headers of the interim responses, names and values alternating. */
  private readonly _interimHeaders: string[] = []
  private _chunks: Buffer[] = []
  private _bufferedBytes = 0
  private _isComplete = false
  private _hasConnectionEnded = false
  private _err: Error | undefined
  private _wakeReader: () => void = () => {}
  private readonly _options: ResponseHandlerOptions
  private readonly _onAbort = (): void => { this._abort(new Error('The request was aborted.')) }

  constructor (options: ResponseHandlerOptions) {
    const { signal } = options
    this._options = options
    this.response = new Promise((resolve, reject) => {
      this._resolve = resolve
      this._reject = reject
    })
    signal.addEventListener('abort', this._onAbort)
    if (signal.aborted) this._onAbort()
  }

  setConnection (connection: TargetConnection): void {
    this._connection = connection
  }

  onConnectionEnd (wasReset: boolean): void {
    this._hasConnectionEnded = true
    // The parser of undici fails when its connection ends while it is paused.
    this._controller?.resume()
    if (wasReset && !this._isComplete) this._fail(new Error('The connection was reset.'))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this._controller = controller
    if (this._err === undefined && !this._options.isCurrent()) {
      this.isOutdated = true
      this._fail(new Error('The request waited too long for its connection.'))
    }
    // A request that was aborted while it waited for a connection is not written.
    if (this._err !== undefined) {
      controller.abort(this._err)
      return
    }
    this._connection?.setReader(this)
    this.isSent = true
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    const headers = getRawHeaders(controller)
    const isInterim = status >= INTERIM_STATUS && status < FINAL_STATUS
    if (!isInterim && !isFinalStatus(status)) {
      this._abort(new Error(`The response has status ${status}.`))
      return
    }
    if (isInterim) {
      this._interimHeaders.push(...headers)
      this._interimResponses++
      if (this._interimResponses > MAX_INTERIM_RESPONSES) this._abort(new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`))
      return
    }
    const head = this._decode(status, headers)
    const connection = this._connection?.getSocket() ?? this
    this._resolve({ head, body: this._read(), connection, discard: () => { this._abort(new Error('The response was discarded.')) } })
    // The response to this request may still follow, and would be read as the response to the next one on the connection.
    if (head.requestId !== this._options.requestId) this._abort(new Error('The response belongs to another request.'))
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._chunks.push(chunk)
    this._bufferedBytes += chunk.length
    if (this._bufferedBytes > MAX_BUFFERED_BYTES && !this._hasConnectionEnded) controller.pause()
    this._wakeReader()
  }

  onResponseEnd (): void {
    this._isComplete = true
    this._close()
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this._fail(err)
  }

  /** Decodes the head of the response; that the target is leaving may also have been stated by an interim response. */
  private _decode (status: number, headers: readonly string[]): ResponseHead {
    const { decode } = this._options
    const head = decode(status, headers)
    return { ...head, isLeaving: head.isLeaving || decode(INTERIM_STATUS, this._interimHeaders).isLeaving }
  }

  private async * _read (): AsyncGenerator<Buffer> {
    for (;;) {
      const chunk = this._chunks.shift()
      if (chunk !== undefined) {
        this._bufferedBytes -= chunk.length
        if (this._bufferedBytes === 0) this._controller?.resume()
        yield chunk
      } else if (this._err !== undefined) {
        throw this._err
      } else if (this._isComplete) {
        return
      } else {
        await new Promise<void>(resolve => { this._wakeReader = resolve })
      }
    }
  }

  private _abort (err: Error): void {
    if (this._isComplete) return
    this._fail(err)
    this._controller?.abort(err)
  }

  private _fail (err: Error): void {
    this._err ??= err
    this._reject(this._err)
    this._close()
  }

  private _close (): void {
    this._options.signal.removeEventListener('abort', this._onAbort)
    this._wakeReader()
  }
}

function getRawHeaders (controller: Dispatcher.DispatchController): string[] {
  const { rawHeaders } = controller as unknown as { rawHeaders: ReadonlyArray<Buffer | string> }
  return rawHeaders.map(value => typeof value === 'string' ? value : value.toString('latin1'))
}
