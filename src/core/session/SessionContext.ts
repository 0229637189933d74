import type { CallContext } from '../call/CallProcedure.js'
import type { Rows } from '../platform/index.js'
import { getSessionKey, type SessionRow } from './SessionRow.js'

/** Context of a call that belongs to no session. */
export const NO_SESSION: CallContext = { warmTargets: [], attainedTokens: 0, historyChars: 0, isInProgress: false, deadline: Infinity }

/** Gets the context of the next call of a session from its row. */
export function getSessionContext (rows: Rows, id: string): CallContext {
  const session = rows.get(getSessionKey(id))?.value as SessionRow | undefined
  if (session === undefined) return NO_SESSION
  return {
    warmTargets: session.targets,
    attainedTokens: session.budget.spentTokens,
    historyChars: session.historyChars,
    isInProgress: session.nextCall > 1,
    deadline: session.budget.deadline
  }
}
