import type { ServerResponse } from 'node:http'
import { setImmediate } from 'node:timers/promises'

/** Bytes that are written at once; other requests get their turn after each batch. */
const BATCH_BYTES = 16_384

/** Writes the body of a response; pieces that arrive together are written at once, since each write costs as much as parsing ten events. */
export class BatchWriter {
  private readonly _res: ServerResponse
  private _pending: Buffer[] = []
  private _pendingBytes = 0

  constructor (res: ServerResponse) {
    this._res = res
  }

  /** Writes a piece; resolves when the connection accepts more or is closed. */
  async write (bytes: Buffer): Promise<void> {
    if (this._isClosed()) return
    if (this._pending.length === 0) process.nextTick(() => { this._flush() })
    this._pending.push(bytes)
    this._pendingBytes += bytes.length
    if (this._pendingBytes < BATCH_BYTES && !this._res.writableNeedDrain) return
    this._flush()
    await setImmediate()
    if (this._isClosed() || !this._res.writableNeedDrain) return
    await new Promise<void>(resolve => {
      const done = (): void => {
        this._res.off('drain', done).off('close', done)
        resolve()
      }
      this._res.on('drain', done).on('close', done)
    })
  }

  /** Ends the response. */
  end (): void {
    this._flush()
    this._res.end()
  }

  private _flush (): void {
    const pending = this._pending
    if (pending.length === 0) return
    this._pending = []
    this._pendingBytes = 0
    if (!this._isClosed()) this._res.write(pending.length === 1 ? pending[0]! : Buffer.concat(pending))
  }

  private _isClosed (): boolean {
    return this._res.destroyed || this._res.writableEnded
  }
}
