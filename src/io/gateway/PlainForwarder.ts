import { Attempts, type ResponseFailure, type Attempt, type AttemptContext } from './Attempts.js'
import type { Exchange } from './Exchange.js'

/** Bytes of an answer that are collected before the first is passed on, so that a broken answer can be replaced. */
export const RESPONSE_BUFFER_BYTES = 262_144

/** Forwards requests whose answer is one body. */
export class PlainForwarder {
  private readonly _context: AttemptContext

  constructor (context: AttemptContext) {
    this._context = context
  }

  /** Forwards a request and passes its answer on. */
  async forward (exchange: Exchange, body: Buffer | undefined): Promise<void> {
    const attempts = new Attempts(this._context, exchange)
    for (;;) {
      const attempt = await attempts.next(body)
      if (attempt === undefined) return
      const failure = await relayBody(exchange, attempt)
      attempt.finish()
      if (failure === undefined) return
      if (!attempts.handleFailure(attempt, failure) || exchange.hasStarted()) return
    }
  }
}

/** Passes on an answer with one body; returns why it could not, or undefined. */
export async function relayBody (exchange: Exchange, attempt: Attempt): Promise<ResponseFailure | undefined> {
  const { head, body, discard } = attempt.response
  const failure = getHeadFailure(attempt)
  if (failure !== undefined) {
    discard()
    return { cause: failure, isConnectionLost: false }
  }
  attempt.recordFirstChunk()
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of body) {
      size += chunk.length
      if (exchange.hasStarted()) {
        await exchange.write(chunk)
        continue
      }
      chunks.push(chunk)
      if (size <= RESPONSE_BUFFER_BYTES) continue
      exchange.start(head)
      await exchange.write(Buffer.concat(chunks))
    }
  } catch (err) {
    return { cause: err instanceof Error ? err.message : String(err), isConnectionLost: true }
  }
  if (exchange.hasStarted()) exchange.end()
  else exchange.sendComplete(head, Buffer.concat(chunks))
  return undefined
}

/** Gets why the head of an answer cannot be passed on, or undefined. */
export function getHeadFailure (attempt: Attempt): string | undefined {
  const { head } = attempt.response
  if (head.isEncoded) return 'the body is encoded'
  if (head.status < 300 && !head.isSigned) return 'the answer is not signed'
  // Only a statement of the target proves that nothing ran; a bare status does not.
  if (NOT_RUN_STATUSES.has(head.status)) return `status ${head.status} without a statement that nothing ran`
  return undefined
}

/** Statuses that promise the caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
