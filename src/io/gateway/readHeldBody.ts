import type { IncomingMessage } from 'node:http'
import { Left, Right, type Either } from 'purify-ts'
import type { HeldBytes } from '../../core/limits/index.js'
import type { Refusal } from '../../core/reason/index.js'
import { ByteBuffer } from '../../core/turn/index.js'

/** Seconds after which a caller may retry when the gateway holds too many bytes; most requests that hold them have ended by then. */
const MEMORY_RETRY_SECONDS = 0.5

/** Bytes by which a body without a stated length is held in advance: the largest block in which it is joined. */
const HOLD_STEP_BYTES = 65_536

/** Bytes that a small body without a stated length holds. */
const FIRST_HOLD_BYTES = 2_048

/** Options of {@link readHeldBody}. */
export interface HeldBodyOptions {
  /** Largest number of bytes of the body. */
  readonly maxBytes: number
  readonly held: HeldBytes
}

/**
 * Reads a request body into memory that is held for it.
 *
 * A body of a stated length is held before it is read; the pieces of another one are joined as they arrive, since each by itself would
 * take many times its bytes. One that the budget does not cover is received without being kept, so that the
 * caller gets to read the refusal.
 */
export async function readHeldBody (req: IncomingMessage, options: HeldBodyOptions): Promise<Either<Refusal, Buffer>> {
  const { maxBytes, held } = options
  const statedBytes = Number(req.headers['content-length'] ?? 0)
  if (statedBytes > maxBytes) {
    req.resume()
    return tooLarge(maxBytes)
  }
  let isHeld = held.tryHold(statedBytes)
  const block = isHeld && statedBytes > 0 ? Buffer.allocUnsafe(statedBytes) : undefined
  const joined = new ByteBuffer({ maxBytes })
  let size = 0
  let heldBytes = 0
  const holdUpTo = (bytes: number): boolean => {
    if (bytes <= heldBytes) return true
    const step = bytes <= FIRST_HOLD_BYTES ? FIRST_HOLD_BYTES : Math.ceil(bytes / HOLD_STEP_BYTES) * HOLD_STEP_BYTES
    if (!held.tryHold(step - heldBytes)) return false
    heldBytes = step
    return true
  }
  try {
    // The end of an iteration would destroy the connection, and with it the refusal of a body that is too large.
    for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) return tooLarge(maxBytes)
      if (block !== undefined) chunk.copy(block, size - chunk.length)
      else if (isHeld && holdUpTo(size)) joined.append(chunk)
      else if (isHeld) {
        isHeld = false
        joined.take()
        held.free(heldBytes)
      }
    }
  } catch {
    return Left({ reason: 'body-timeout' })
  }
  if (!isHeld) return Left({ reason: 'memory-full', retryAfterSeconds: MEMORY_RETRY_SECONDS })
  return Right(block ?? joined.take())
}

function tooLarge (limitBytes: number): Either<Refusal, Buffer> {
  return Left({ reason: 'body-too-large', members: { limitBytes } })
}
