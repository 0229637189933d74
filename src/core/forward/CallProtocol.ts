import type { Either } from 'purify-ts'
import type { Refusal } from '../reason/index.js'
import type { Target } from '../target/index.js'
import type { CallRequest } from './CallRequest.js'

/** Head of a caller's request. */
export interface RequestHead {
  readonly method: string
  readonly url: string
  /** Names and values alternating, as received. */
  readonly rawHeaders: readonly string[]
}

/** What the gateway adds to a request that it sends to a target. */
export interface DispatchOptions {
  readonly target: Target
  /** Milliseconds that the target may spend. */
  readonly timeoutMs: number
  /** Event after which a resumed stream goes on. */
  readonly lastEventId?: string | undefined
  /** Order among requests at the target, 0 first; left out for the target's default. */
  readonly priority?: number
}

/** Head of a target's answer, decoded. */
export interface ResponseHead {
  readonly status: number
  /** Headers to pass on to the caller, names and values alternating. */
  readonly headers: readonly string[]
  /** Id of the request that the target says it answers. */
  readonly requestId: string | undefined
  /** True when the answer bears a target's signature. */
  readonly isSigned: boolean
  /** True when the target states that it did not run the request. */
  readonly isNotRun: boolean
  /** True when the body was encoded on the way, so that it is not the target's own. */
  readonly isEncoded: boolean
}

/** Translates requests and answers between the wire and the gateway. */
export abstract class CallProtocol {
  /** Decodes the head of a caller's request. */
  abstract decodeRequest (head: RequestHead): Either<Refusal, CallRequest>
  /** Gets the headers of a request to a target, names and values alternating. */
  abstract getTargetHeaders (call: CallRequest, dispatch: DispatchOptions): string[]
  /** Decodes the head of a target's answer. */
  abstract decodeResponse (status: number, headers: readonly string[]): ResponseHead
  /** Gets the headers of an answer of the gateway's own. */
  abstract getRefusalHeaders (requestId: string | undefined, retryAfterMs: number | undefined): string[]
}
