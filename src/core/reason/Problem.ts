import { REFUSALS, type Refusal } from './Reasons.js'

/** Problem document of RFC 9457, extended by the outcome and the reason of the refusal. */
export interface Problem {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly outcome: string
  readonly reason: string
  readonly detail?: string
  readonly [member: string]: unknown
}

/** Content type of a problem document. */
export const PROBLEM_CONTENT_TYPE = 'application/problem+json'

/** Builds the problem document for a refusal. */
export function toProblem (refusal: Refusal): Problem {
  const description = REFUSALS[refusal.reason]
  return {
    type: `urn:wisteriabridge:reason:${refusal.reason}`,
    title: description.title,
    status: description.status,
    outcome: description.outcome,
    reason: refusal.reason,
    ...(refusal.detail === undefined ? {} : { detail: refusal.detail }),
    ...refusal.members
  }
}
