import type { Either } from 'purify-ts'
import type { Refusal } from '../reason/index.js'
import type { Target } from '../target/index.js'
import type { CallRequest } from './CallRequest.js'

/** Head of a caller's request. */
export interface RequestHead {
  readonly method: string
  readonly url: string
  /** Names and values in alternation, as received. */
  readonly rawHeaders: readonly string[]
}

/** Values that the gateway adds to a request that it sends to a target. */
export interface DispatchOptions {
  readonly target: Target
  /** Milliseconds that the target may take. */
  readonly timeoutMs: number
  /** Id of the event after which a resumed stream continues. */
  readonly lastEventId?: string | undefined
  /** Priority among the requests at the target, 0 the highest; omitted for the default of the target. */
  readonly priority?: number
  /** Name of the workspace that sends the request; undefined without one. */
  readonly workspace?: string | undefined
}

/** Decoded head of a target's response. */
export interface ResponseHead {
  readonly status: number
  /** Headers to forward to the caller, names and values in alternation. */
  readonly headers: readonly string[]
  /** Id of the request, as stated in the response; a response without the id of its request is not relayed. */
  readonly requestId: string | undefined
  /** Media type of the body in lower case, without parameters; undefined when it is not stated. */
  readonly mediaType: string | undefined
  /** True when the response has the signature of a target. */
  readonly isSigned: boolean
  /** True when the target states that it did not run the request. */
  readonly isNotRun: boolean
  /** Requests per second that the target accepts from all gateways together; undefined when it states no limit. */
  readonly requestsPerSecond: number | undefined
  /** True when the target states that it is leaving. */
  readonly isLeaving: boolean
  /** True when another instance than the one named in the request has responded. */
  readonly isMisdirected: boolean
  /** True when the body was encoded in transit, so that it differs from the one that the target generated. */
  readonly isEncoded: boolean
}

/** Decodes and encodes the headers of requests and responses. */
export abstract class CallProtocol {
  /** Decodes the head of a caller's request. */
  abstract decodeRequest (head: RequestHead): Either<Refusal, CallRequest>
  /** Gets the headers of a request to a target, names and values in alternation. */
  abstract getTargetHeaders (call: CallRequest, dispatch: DispatchOptions): string[]
  /** Decodes the head of a target's response. */
  abstract decodeResponse (status: number, headers: readonly string[]): ResponseHead
  /** Gets the headers of a refusal by the gateway, names and values in alternation. */
  abstract getRefusalHeaders (requestId: string | undefined, retryAfterMs: number | undefined): string[]
}
