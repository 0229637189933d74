import { Attempts, type ResponseFailure, type Attempt, type AttemptContext } from './Attempts.js'
import type { Exchange } from './Exchange.js'

/** Bytes of a response that are buffered before the first is relayed, so that the request can be retried when the connection is lost. */
export const RESPONSE_BUFFER_BYTES = 262_144

/** Largest number of bytes of a response; a target that sends more sends no answer, and is not read on. */
export const MAX_RESPONSE_BYTES = 67_108_864

/** Forwards requests whose response is not a stream of events. */
export class PlainForwarder {
  private readonly _context: AttemptContext

  constructor (context: AttemptContext) {
    this._context = context
  }

  /** Forwards a request and relays its response. */
  async forward (exchange: Exchange, body: Buffer | undefined): Promise<void> {
    const attempts = new Attempts(this._context, exchange)
    try {
      for (;;) {
        const attempt = await attempts.next({ body })
        if (attempt === undefined) return
        const failure = await relayBody(exchange, attempt)
        attempt.finish()
        if (failure === undefined) {
          attempts.recordAnswer(attempt)
          return
        }
        if (!attempts.handleFailure(attempt, failure)) return
      }
    } finally {
      attempts.close()
    }
  }
}

/** Relays a response with a single body; returns the failure, or undefined when the response was relayed completely. */
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
      exchange.recordReceived()
      attempt.recordReceived()
      size += chunk.length
      if (size > MAX_RESPONSE_BYTES) {
        discard()
        return { cause: `the body exceeds ${MAX_RESPONSE_BYTES} bytes`, isConnectionLost: false, isFinal: exchange.hasStarted() }
      }
      if (exchange.hasStarted()) {
        await exchange.write(chunk)
        continue
      }
      chunks.push(chunk)
      if (size <= RESPONSE_BUFFER_BYTES && exchange.held.tryHold(chunk.length)) continue
      exchange.start(head)
      await exchange.write(Buffer.concat(chunks))
    }
  } catch (err) {
    return { cause: err instanceof Error ? err.message : String(err), isConnectionLost: true, isFinal: exchange.hasStarted() }
  }
  if (exchange.hasStarted()) exchange.end()
  else exchange.sendComplete(head, Buffer.concat(chunks))
  return undefined
}

/** Gets the reason for which a response with this head can't be relayed, or undefined. */
export function getHeadFailure (attempt: Attempt): string | undefined {
  const { head } = attempt.response
  if (head.isEncoded) return 'the body is encoded'
  if (head.status < 300 && !head.isSigned) return 'the response is not signed'
  // Only a header of the target proves that the request did not run; the status alone does not.
  if (NOT_RUN_STATUSES.has(head.status)) return `status ${head.status} without a header that the request did not run`
  return undefined
}

/** Statuses from which a caller concludes that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
