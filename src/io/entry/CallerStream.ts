import type { ServerResponse } from 'node:http'
import { toProblem, type Refusal } from '../../core/reason/index.js'

/** Options of {@link CallerStream}. */
export interface CallerStreamOptions {
  readonly res: ServerResponse
  /** Milliseconds for which the caller may leave the stream unread. */
  readonly stallMs: number
  readonly headers: Readonly<Record<string, string>>
  readonly onFirstByte: () => void
}

/** The stream of an answer to its caller; bytes are passed on as they are, at the pace of the caller. */
export class CallerStream {
  private readonly _options: CallerStreamOptions
  private _attempt = ''
  private _offset = 0
  private _isFailed = false

  constructor (options: CallerStreamOptions) {
    this._options = options
  }

  /** Tells whether any byte of an answer has been sent. */
  hasStarted (): boolean {
    return this._options.res.headersSent
  }

  /** Gets the offset from which the answer of an attempt is wanted. */
  getOffset (attempt: string): number {
    return attempt === this._attempt ? this._offset : 0
  }

  /** Sends bytes of an attempt; resolves when the caller can take more, or has left. */
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

  /** Ends the stream as a whole answer. */
  end (): void {
    if (this._isFailed) return
    this._options.res.end('data: [DONE]\n\n')
  }

  /** Ends the stream with a refusal; the caller does not take it for a whole answer, since `[DONE]` is missing. */
  fail (refusal: Refusal): void {
    if (this._isFailed) return
    this._isFailed = true
    const problem = toProblem(refusal)
    this._options.res.end(`data: ${JSON.stringify({ error: { message: problem.title, code: problem.reason, ...problem } })}\n\n`)
  }

  /** A new attempt begins its answer anew, which cannot be joined to the bytes that the caller already has. */
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
