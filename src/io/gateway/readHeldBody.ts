import type { IncomingMessage, ServerResponse } from 'node:http'
import { Left, Right, type Either } from 'purify-ts'
import type { HeldBytes } from '../../core/limits/index.js'
import type { Refusal } from '../../core/reason/index.js'
import { ByteBuffer } from '../../core/turn/index.js'

/** Seconds after which a caller may retry when the gateway holds too many bytes; most requests that hold them have ended by then. */
const MEMORY_RETRY_SECONDS = 0.5

/** Bytes that a small body without a stated length holds. */
const FIRST_HOLD_BYTES = 2_048

/** Bytes by which a larger one is held in advance: the largest block in which it is joined. */
const HOLD_STEP_BYTES = 65_536

/** Options of {@link readHeldBody}. */
export interface HeldBodyOptions {
  /** Largest number of bytes of the body. */
  readonly maxBytes: number
  readonly held: HeldBytes
  /** Response to the request; once it is sent, the rest of the body is not kept. */
  readonly res: ServerResponse
}

/**
 * Reads a request body into memory that is held for it.
 *
 * A body of a stated length is held before it is read; the pieces of another one are joined as they arrive, since each by itself would
 * take many times its bytes. One that the budget does not cover is received without being kept, so that the caller gets to read the
 * refusal.
 */
export async function readHeldBody (req: IncomingMessage, options: HeldBodyOptions): Promise<Either<Refusal, Buffer>> {
  const { maxBytes, held, res } = options
  const statedBytes = Number(req.headers['content-length'] ?? 0)
  if (statedBytes > maxBytes) {
    req.resume()
    return tooLarge(maxBytes)
  }
  const body = new HeldBody(held, statedBytes, maxBytes)
  return await new Promise(resolve => {
    const end = (result: Either<Refusal, Buffer>): void => {
      req.off('data', onData).off('end', onEnd).off('close', onClose)
      res.off('finish', onClose)
      // What remains is received and dropped; the listeners of the request may live as long as its connection.
      body.drop()
      req.resume()
      resolve(result)
    }
    const onData = (chunk: Buffer): void => { if (!body.append(chunk)) end(tooLarge(maxBytes)) }
    const onEnd = (): void => {
      const bytes = body.take()
      end(bytes === undefined ? Left({ reason: 'memory-full', retryAfterSeconds: MEMORY_RETRY_SECONDS }) : Right(bytes))
    }
    const onClose = (): void => { end(Left({ reason: 'body-timeout' })) }
    req.on('error', () => {}).on('close', onClose).on('end', onEnd).on('data', onData)
    res.on('finish', onClose)
  })
}

/** The part of a body that has arrived, which is kept as long as the budget covers it. */
class HeldBody {
  private readonly _held: HeldBytes
  private readonly _maxBytes: number
  /** Holds a body of a stated length. */
  private _block: Buffer | undefined
  /** Joins a body without one; undefined once the budget does not cover it. */
  private _joined: ByteBuffer | undefined
  private _size = 0
  private _joinedHeldBytes = 0

  constructor (held: HeldBytes, statedBytes: number, maxBytes: number) {
    this._held = held
    this._maxBytes = maxBytes
    if (!held.tryHold(statedBytes)) return
    if (statedBytes > 0) this._block = Buffer.allocUnsafe(statedBytes)
    else this._joined = new ByteBuffer({ maxBytes })
  }

  /** Appends a piece; returns false if the body is too large. */
  append (chunk: Buffer): boolean {
    this._size += chunk.length
    if (this._size > this._maxBytes) return false
    if (this._block !== undefined) chunk.copy(this._block, this._size - chunk.length)
    else if (this._joined !== undefined && this._tryHoldJoined()) this._joined.append(chunk)
    return true
  }

  /** Takes the body; undefined if it was not kept. */
  take (): Buffer | undefined {
    return this._block ?? this._joined?.take()
  }

  /** Keeps nothing from now on. */
  drop (): void {
    this._block = this._joined = undefined
  }

  private _tryHoldJoined (): boolean {
    if (this._size <= this._joinedHeldBytes) return true
    const bytes = this._size <= FIRST_HOLD_BYTES ? FIRST_HOLD_BYTES : Math.ceil(this._size / HOLD_STEP_BYTES) * HOLD_STEP_BYTES
    if (this._held.tryHold(bytes - this._joinedHeldBytes)) {
      this._joinedHeldBytes = bytes
      return true
    }
    this._joined = undefined
    this._held.free(this._joinedHeldBytes)
    return false
  }
}

function tooLarge (limitBytes: number): Either<Refusal, Buffer> {
  return Left({ reason: 'body-too-large', members: { limitBytes } })
}
