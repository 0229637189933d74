import type { ServerResponse } from 'node:http'
import { toProblem, type Refusal } from '../../core/reason/index.js'

/** Options of {@link CallerStream}. */
export interface CallerStreamOptions {
  readonly res: ServerResponse
  /** Milliseconds after which the connection of a caller that doesn't read is closed. */
  readonly stallMs: number
  readonly headers: Readonly<Record<string, string>>
  readonly onFirstByte: () => void
}

/** Streams a response to its caller, unchanged and with backpressure. */
export class CallerStream {
  private readonly _options: CallerStreamOptions
  private _attempt = ''
  private _offset = 0
  private _isFailed = false

  constructor (options: CallerStreamOptions) {
    this._options = options
  }

  /** Checks whether the response to the caller has started. */
  hasStarted (): boolean {
    return this._options.res.headersSent
  }

  /** Gets the number of bytes already received of the response of an attempt; 0 for another attempt than the latest. */
  getOffset (attempt: string): number {
    return attempt === this._attempt ? this._offset : 0
  }

  /** Sends bytes of an attempt; resolves when the caller's connection accepts more, or is closed. */
  async write (attempt: string, bytes: Buffer): Promise<void> {
    const { res } = this._options
    if (this._attempt !== attempt) this._startAttempt(attempt)
    this._offset += bytes.length
    if (this._isFailed || res.destroyed) return
    if (!res.headersSent) {
      this._options.onFirstByte()
      res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', ...this._options.headers })
    }
    if (!res.write(bytes)) await this._waitForDrain()
  }

  /** Ends the stream of a complete response. */
  end (): void {
    if (this._isFailed) return
    this._options.res.end('data: [DONE]\n\n')
  }

  /** Ends the stream with an error event; without `[DONE]` the caller doesn't mistake the response for a complete one. */
  fail (refusal: Refusal): void {
    if (this._isFailed) return
    this._isFailed = true
    const problem = toProblem(refusal)
    this._options.res.end(`data: ${JSON.stringify({ error: { message: problem.title, code: problem.reason, ...problem } })}\n\n`)
  }

  /** Switches to another attempt; fails the stream if bytes were sent, since the response of a new attempt can't continue them. */
  private _startAttempt (attempt: string): void {
    if (this._offset > 0) this.fail({ reason: 'answer-interrupted' })
    this._attempt = attempt
    this._offset = 0
  }

  private async _waitForDrain (): Promise<void> {
    const { res, stallMs } = this._options
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => { res.destroy() }, stallMs)
      const finish = (): void => {
        clearTimeout(timer)
        res.off('drain', finish)
        res.off('close', finish)
        resolve()
      }
      res.on('drain', finish)
      res.on('close', finish)
    })
  }
}
