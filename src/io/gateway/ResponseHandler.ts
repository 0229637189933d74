import type { Dispatcher } from 'undici'

/** Bytes of a response that are buffered for a slow caller before reading from the target is paused. */
const MAX_BUFFERED_BYTES = 65_536

/** Interim responses (status 1xx) that are accepted before the response. */
const MAX_INTERIM_RESPONSES = 16

/** A response as received, with its body as a stream. */
export interface RawResponse {
  readonly status: number
  /** Names and values alternating. */
  readonly headers: readonly string[]
  readonly body: AsyncIterable<Buffer>
  readonly abort: () => void
}

/** Receives one response: its head as a promise, its body as an iterable with back-pressure. */
export class ResponseHandler implements Dispatcher.DispatchHandler {
  /** True as soon as the request may have been written to a connection. */
  isSent = false
  /** Headers of the interim responses, names and values alternating. */
  readonly interimHeaders: string[] = []
  readonly response: Promise<RawResponse>
  private _resolve: (response: RawResponse) => void = () => {}
  private _reject: (err: Error) => void = () => {}
  private _controller: Dispatcher.DispatchController | undefined
  private _interimResponses = 0
  private _chunks: Buffer[] = []
  private _bufferedBytes = 0
  private _isComplete = false
  private _err: Error | undefined
  private _wakeReader: () => void = () => {}
  private readonly _signal: AbortSignal
  private readonly _onAbort = (): void => { this._abort(new Error('The request was aborted.')) }

  constructor (signal: AbortSignal) {
    this._signal = signal
    this.response = new Promise((resolve, reject) => {
      this._resolve = resolve
      this._reject = reject
    })
    signal.addEventListener('abort', this._onAbort)
    if (signal.aborted) this._onAbort()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this._controller = controller
    // A request that was aborted while it waited for a connection is not written.
    if (this._err !== undefined) {
      controller.abort(this._err)
      return
    }
    this.isSent = true
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    const headers = getRawHeaders(controller)
    if (status < 200) {
      this.interimHeaders.push(...headers)
      this._interimResponses++
      if (this._interimResponses > MAX_INTERIM_RESPONSES) this._abort(new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`))
      return
    }
    this._resolve({ status, headers, body: this._read(), abort: () => { this._abort(new Error('The response was discarded.')) } })
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._chunks.push(chunk)
    this._bufferedBytes += chunk.length
    if (this._bufferedBytes > MAX_BUFFERED_BYTES) controller.pause()
    this._wakeReader()
  }

  onResponseEnd (): void {
    this._isComplete = true
    this._close()
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this._fail(err)
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
    this._signal.removeEventListener('abort', this._onAbort)
    this._wakeReader()
  }
}

function getRawHeaders (controller: Dispatcher.DispatchController): string[] {
  const { rawHeaders } = controller as unknown as { rawHeaders: ReadonlyArray<Buffer | string> }
  return rawHeaders.map(value => typeof value === 'string' ? value : value.toString('latin1'))
}
