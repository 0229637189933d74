import { digestOf, type CallKind, type Message } from '../history/index.js'

/** Everything about a call that does not depend on the state of its ledger. */
export interface CallSpec {
  readonly kind: CallKind
  readonly workspace: string
  /** Program of the session, or an empty string for a plain request. */
  readonly program: string
  /** Service whose targets can run the call. */
  readonly service: string
  /** Operation of a plain service, or an empty string. */
  readonly operation: string
  /** True when running the call twice does no harm. */
  readonly repeatable: boolean
  /** Messages that the call adds to the history. */
  readonly messages: readonly Message[]
  /** Largest number of tokens that the call may generate. */
  readonly maxTokens: number
  /** Body for a plain service. */
  readonly body: string
  readonly contentType: string
  /** Milliseconds from acceptance to the deadline of the call. */
  readonly timeoutMs: number
}

/** Computes the digest that identifies the request of a call within its workspace. */
export function getRequestDigest (spec: CallSpec): string {
  return digestOf(
    spec.workspace, spec.program, spec.kind, spec.service, spec.operation,
    JSON.stringify(spec.messages), String(spec.maxTokens), spec.contentType, spec.body
  )
}
