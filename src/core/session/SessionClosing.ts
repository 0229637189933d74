import type { TurnRow } from '../history/index.js'
import { getNextHead } from '../history/index.js'
import { Outcome } from '../reason/index.js'
import type { Condition, Put, Rows, Transaction } from '../platform/index.js'
import { getSessionKey, getTurnKey, SessionState, type SessionRow } from './SessionRow.js'

/**
 * Builds the transaction that closes a session and returns its unspent budget to its parent.
 *
 * @remarks A pending claim must be past its deadline; it is charged in full and its call is recorded with the outcome `unknown`.
 * Open sub-agents must be closed first.
 * @param rows - Rows of the session and, if it has one, of its parent.
 */
export function toCloseTransaction (rows: Rows, session: SessionRow): Transaction {
  const abandoned = toAbandonedTurn(session)
  const closed = toClosedRow(session, abandoned)
  const conditions: Condition[] = [{ key: getSessionKey(session.id), version: rows.get(getSessionKey(session.id))!.version }]
  const puts: Put[] = [{ key: getSessionKey(session.id), value: closed }]
  if (abandoned !== undefined) puts.push({ key: getTurnKey(session.id, abandoned.call), value: abandoned })
  const parentRow = session.parent === undefined ? undefined : rows.get(getSessionKey(session.parent))
  if (parentRow !== undefined) {
    conditions.push({ key: getSessionKey(session.parent!), version: parentRow.version })
    puts.push({ key: getSessionKey(session.parent!), value: toParentAfterClose(parentRow.value as SessionRow, closed) })
  }
  return { conditions, puts }
}

function toAbandonedTurn (session: SessionRow): TurnRow | undefined {
  const claim = session.pending
  if (claim === undefined) return undefined
  return {
    session: session.id,
    call: claim.call,
    kind: claim.repeatable ? 'model' : 'service',
    requestDigest: claim.requestDigest,
    messages: [],
    outcome: Outcome.Unknown,
    answer: { status: 502, contentType: 'text/plain', text: '', tokens: claim.reservedTokens, finish: 'abandoned' },
    steps: []
  }
}

function toClosedRow (session: SessionRow, abandoned: TurnRow | undefined): SessionRow {
  const { pending: _, ...rest } = session
  const closed = { ...rest, state: SessionState.Closed }
  if (abandoned === undefined) return closed
  const spentTokens = session.budget.spentTokens + session.budget.reservedTokens
  return {
    ...closed,
    nextCall: session.nextCall + 1,
    head: getNextHead(session.head, abandoned),
    budget: { ...session.budget, reservedTokens: 0, spentTokens, spentCalls: session.budget.spentCalls + 1 }
  }
}

function toParentAfterClose (parent: SessionRow, child: SessionRow): SessionRow {
  return {
    ...parent,
    children: parent.children.filter(id => id !== child.id),
    budget: {
      ...parent.budget,
      lentTokens: parent.budget.lentTokens - child.budget.tokens,
      lentCalls: parent.budget.lentCalls - child.budget.calls,
      spentTokens: parent.budget.spentTokens + child.budget.spentTokens,
      spentCalls: parent.budget.spentCalls + child.budget.spentCalls
    }
  }
}
