import { digestOf, type CallKind, type Message } from '../history/index.js'

/** The request of a call: all its properties that do not depend on the ledger. */
export interface CallSpec {
  readonly kind: CallKind
  readonly workspace: string
  /** Program of the session, or an empty string for a plain request. */
  readonly program: string
  /** Service whose targets can run the call. */
  readonly service: string
  /** Operation of a plain service, or an empty string. */
  readonly operation: string
  /** True when the call may safely run more than once. */
  readonly repeatable: boolean
  /** Messages that the call adds to the history. */
  readonly messages: readonly Message[]
  /** Largest number of tokens that the call may generate. */
  readonly maxTokens: number
  /** Body for a plain service. */
  readonly body: string
  readonly contentType: string
  /** Milliseconds from the arrival of the call to its deadline. */
  readonly timeoutMs: number
}

/** Computes the digest that identifies the request of a call within its workspace. */
export function getRequestDigest (spec: CallSpec): string {
  return digestOf(
    spec.workspace, spec.program, spec.kind, spec.service, spec.operation,
    JSON.stringify(spec.messages), String(spec.maxTokens), spec.contentType, spec.body
  )
}
