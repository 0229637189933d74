import type { Outcome } from '../reason/index.js'
import type { TraceStep } from '../explain/index.js'
import type { Message } from './Message.js'

/** Kind of a call. */
export const CallKind = { Model: 'model', Service: 'service' } as const
export type CallKind = typeof CallKind[keyof typeof CallKind]

/** Complete response to a call. */
export interface CallResponse {
  /** HTTP status of the target's response. */
  readonly status: number
  readonly contentType: string
  /** Text of a model response, or the body of a service response. */
  readonly text: string
  /** Number of generated tokens; 0 for services. */
  readonly tokens: number
  /** Reason for the end of the response: `stop`, `length` or `deadline`. */
  readonly finish: string
}

/** One finished call of a session, stored under `turn/{session}/{call}`. */
export interface TurnRow {
  readonly session: string
  readonly call: number
  readonly kind: CallKind
  readonly requestDigest: string
  /** Messages that the call added to the history. */
  readonly messages: readonly Message[]
  readonly outcome: Outcome
  readonly answer: CallResponse
  readonly steps: readonly TraceStep[]
}
