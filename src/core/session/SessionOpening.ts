import { Left, Right, type Either } from 'purify-ts'
import { getFirstHead } from '../history/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import type { Refusal } from '../reason/index.js'
import { getFreeCalls, getFreeTokens, getSessionKey, SessionState, type SessionRow } from './SessionRow.js'

/** Options for opening a session. */
export interface SessionOpeningOptions {
  /** Id of the new session, made by the caller of this function; opening the same id again has no further effect. */
  readonly id: string
  readonly workspace: string
  readonly program: string
  readonly parent?: string
  readonly tokens: number
  readonly calls: number
  readonly seconds: number
  /** Largest number of open sub-agents of one session. */
  readonly maxChildren: number
}

/** What opening a session comes to. */
export type OpeningDecision =
  | { readonly type: 'exists', readonly session: SessionRow }
  | { readonly type: 'open', readonly session: SessionRow, readonly transaction: Transaction }

interface Loan {
  readonly session: SessionRow
  readonly transaction: Transaction
}

/** Decides about the opening of a session; a sub-agent's whole budget is lent by its parent in the same transaction. */
export class SessionOpening {
  private readonly _options: SessionOpeningOptions

  constructor (options: SessionOpeningOptions) {
    this._options = options
  }

  /** Gets the keys to read before {@link decide}. */
  getKeys (): string[] {
    const sessionKey = getSessionKey(this._options.id)
    return this._options.parent === undefined ? [sessionKey] : [sessionKey, getSessionKey(this._options.parent)]
  }

  /** Decides whether the session may be opened. */
  decide (rows: Rows, now: number): Either<Refusal, OpeningDecision> {
    const existing = rows.get(getSessionKey(this._options.id))?.value as SessionRow | undefined
    if (existing !== undefined) return this._decideExisting(existing)
    const session = this._toRow(now)
    const condition = { key: getSessionKey(session.id), version: 0 }
    const put = { key: getSessionKey(session.id), value: session }
    if (this._options.parent === undefined) {
      return Right({ type: 'open', session, transaction: { conditions: [condition], puts: [put] } })
    }
    return this._lend(rows, this._options.parent, session, now).map(loan => ({
      type: 'open',
      session: loan.session,
      transaction: {
        conditions: [condition, ...loan.transaction.conditions],
        puts: [{ ...put, value: loan.session }, ...loan.transaction.puts]
      }
    }))
  }

  private _decideExisting (existing: SessionRow): Either<Refusal, OpeningDecision> {
    const isSame = existing.workspace === this._options.workspace && existing.program === this._options.program &&
      existing.parent === this._options.parent
    return isSame ? Right({ type: 'exists', session: existing }) : Left({ reason: 'call-conflict' })
  }

  private _toRow (now: number): SessionRow {
    const { id, workspace, program, parent, tokens, calls, seconds } = this._options
    return {
      id,
      workspace,
      program,
      ...(parent === undefined ? {} : { parent }),
      state: SessionState.Open,
      openedAt: now,
      epoch: 0,
      nextCall: 1,
      budget: {
        tokens,
        calls,
        deadline: now + seconds * 1000,
        spentTokens: 0,
        spentCalls: 0,
        reservedTokens: 0,
        lentTokens: 0,
        lentCalls: 0
      },
      head: getFirstHead(id),
      historyChars: 0,
      lastDigest: '',
      repeats: 0,
      children: [],
      targets: []
    }
  }

  private _lend (rows: Rows, parentId: string, child: SessionRow, now: number): Either<Refusal, Loan> {
    const key = getSessionKey(parentId)
    const parent = rows.get(key)?.value as SessionRow | undefined
    if (parent === undefined || parent.workspace !== this._options.workspace) return Left({ reason: 'session-unknown', detail: 'parent' })
    if (parent.state === SessionState.Closed) return Left({ reason: 'session-closed', detail: 'parent' })
    if (parent.children.length >= this._options.maxChildren) return Left({ reason: 'children-limit' })
    if (now >= parent.budget.deadline) return Left({ reason: 'budget-time', detail: 'parent' })
    if (child.budget.tokens > getFreeTokens(parent.budget)) {
      return Left({ reason: 'budget-tokens', detail: 'parent', members: { freeTokens: getFreeTokens(parent.budget) } })
    }
    if (child.budget.calls > getFreeCalls(parent.budget)) {
      return Left({ reason: 'budget-calls', detail: 'parent', members: { freeCalls: getFreeCalls(parent.budget) } })
    }
    const session = { ...child, budget: { ...child.budget, deadline: Math.min(child.budget.deadline, parent.budget.deadline) } }
    const value: SessionRow = {
      ...parent,
      children: [...parent.children, child.id],
      budget: {
        ...parent.budget,
        lentTokens: parent.budget.lentTokens + child.budget.tokens,
        lentCalls: parent.budget.lentCalls + child.budget.calls
      }
    }
    return Right({ session, transaction: { conditions: [{ key, version: rows.get(key)!.version }], puts: [{ key, value }] } })
  }
}
