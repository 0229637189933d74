import { Left, Right, type Either } from 'purify-ts'
import { CallLedger, type CallDecision, type Claim, type ReplacedClaim } from '../call/index.js'
import { getNextHead, type TurnRow } from '../history/index.js'
import type { Put, Rows, Transaction } from '../platform/index.js'
import type { Refusal } from '../reason/index.js'
import { getFreeCalls, getFreeTokens, getSessionKey, getTurnKey, SessionState, type BudgetAccount, type SessionRow } from './SessionRow.js'

/** Largest number of targets kept in a session row, whose KV cache is released when the session closes. */
const MAX_STORED_TARGETS = 8

/** Options of {@link SessionLedger}. */
export interface SessionLedgerOptions {
  readonly session: string
  readonly workspace: string
  /** Number of the call, counted from 1. */
  readonly call: number
  readonly requestDigest: string
  /** Tokens that the call may generate. */
  readonly maxTokens: number
  /** Largest number of consecutive times that the program may make the same call. */
  readonly maxRepeats: number
}

/** Ledger of one call of a session; checks the order of the calls, the budget and the history. */
export class SessionLedger extends CallLedger {
  readonly key: string
  private readonly _options: SessionLedgerOptions
  private readonly _turnKey: string

  constructor (options: SessionLedgerOptions) {
    super()
    this._options = options
    this.key = getSessionKey(options.session)
    this._turnKey = getTurnKey(options.session, options.call)
  }

  isDurable (): boolean {
    return true
  }

  getKeys (): string[] {
    return [this.key, this._turnKey]
  }

  decide (rows: Rows, now: number): Either<Refusal, CallDecision> {
    const session = this._getSession(rows)
    if (session === undefined || session.workspace !== this._options.workspace) return Left({ reason: 'session-unknown' })
    if (this._options.call < session.nextCall) return this._decideReplay(rows)
    if (session.state === SessionState.Closed) return Left({ reason: 'session-closed' })
    if (this._options.call > session.nextCall) return Left(toOutOfOrderRefusal(session))
    if (session.pending !== undefined) return this._decideJoin(session.pending)
    return this._decideClaim(session, now)
  }

  decideReplacement (rows: Rows, replaced: ReplacedClaim, now: number): Either<Refusal, true> {
    // Order and repetition were checked for the first claim; only the budget, charged for a lost attempt, may no longer suffice.
    return checkBudget(withdrawClaim(this._getSessionOrThrow(rows).budget, replaced), this._options.maxTokens, now)
  }

  getNextEpoch (rows: Rows): number {
    return this._getSessionOrThrow(rows).epoch + 1
  }

  toClaimTransaction (rows: Rows, claim: Claim, replaced?: ReplacedClaim): Transaction {
    const session = this._getSessionOrThrow(rows)
    const budget = replaced === undefined ? session.budget : withdrawClaim(session.budget, replaced)
    return this._toTransaction(rows, {
      ...session,
      epoch: claim.epoch,
      pending: claim,
      targets: addTarget(session.targets, claim),
      budget: { ...budget, reservedTokens: budget.reservedTokens + claim.reservedTokens }
    })
  }

  toReleaseTransaction (rows: Rows, replaced: ReplacedClaim): Transaction {
    const { pending: _, ...session } = this._getSessionOrThrow(rows)
    return this._toTransaction(rows, { ...session, budget: withdrawClaim(session.budget, replaced) })
  }

  toSettleTransaction (rows: Rows, claim: Claim, turn: TurnRow): Transaction {
    const { pending: _, ...session } = this._getSessionOrThrow(rows)
    const isRepeat = session.lastDigest === turn.requestDigest
    const row: SessionRow = {
      ...session,
      nextCall: session.nextCall + 1,
      head: getNextHead(session.head, turn),
      historyChars: session.historyChars + countChars(turn),
      lastDigest: turn.requestDigest,
      repeats: isRepeat ? session.repeats + 1 : 1,
      budget: {
        ...session.budget,
        reservedTokens: session.budget.reservedTokens - claim.reservedTokens,
        spentTokens: session.budget.spentTokens + Math.min(turn.answer.tokens, claim.reservedTokens),
        spentCalls: session.budget.spentCalls + 1
      }
    }
    return this._toTransaction(rows, row, [{ key: this._turnKey, value: turn }])
  }

  private _decideReplay (rows: Rows): Either<Refusal, CallDecision> {
    const turn = rows.get(this._turnKey)?.value as TurnRow | undefined
    if (turn === undefined) return Left({ reason: 'history-damaged', detail: `turn ${this._options.call} is missing` })
    if (turn.requestDigest !== this._options.requestDigest) return Left({ reason: 'call-conflict' })
    return Right({ type: 'replay', turn })
  }

  private _decideJoin (claim: Claim): Either<Refusal, CallDecision> {
    if (claim.requestDigest !== this._options.requestDigest) return Left({ reason: 'call-conflict' })
    return Right({ type: 'join', claim })
  }

  private _decideClaim (session: SessionRow, now: number): Either<Refusal, CallDecision> {
    const isRepeat = session.lastDigest === this._options.requestDigest
    if (isRepeat && session.repeats >= this._options.maxRepeats) return Left({ reason: 'loop-detected', detail: `${session.repeats} times` })
    return checkBudget(session.budget, this._options.maxTokens, now).map(() => ({ type: 'claim' }))
  }

  private _toTransaction (rows: Rows, session: SessionRow, additionalPuts: readonly Put[] = []): Transaction {
    return {
      conditions: [{ key: this.key, version: rows.get(this.key)!.version }],
      puts: [{ key: this.key, value: session }, ...additionalPuts]
    }
  }

  private _getSession (rows: Rows): SessionRow | undefined {
    return rows.get(this.key)?.value as SessionRow | undefined
  }

  private _getSessionOrThrow (rows: Rows): SessionRow {
    const session = this._getSession(rows)
    if (session === undefined) throw new RangeError(`Session row "${this.key}" does not exist.`)
    return session
  }
}

function checkBudget (budget: BudgetAccount, maxTokens: number, now: number): Either<Refusal, true> {
  if (now >= budget.deadline) return Left({ reason: 'budget-time' })
  if (getFreeCalls(budget) < 1) return Left({ reason: 'budget-calls', members: { calls: budget.calls } })
  const free = getFreeTokens(budget)
  if (maxTokens > free) return Left({ reason: 'budget-tokens', members: { freeTokens: free, askedTokens: maxTokens } })
  return Right(true)
}

function toOutOfOrderRefusal (session: SessionRow): Refusal {
  return { reason: 'call-out-of-order', members: { nextCall: session.nextCall } }
}

function withdrawClaim (budget: BudgetAccount, replaced: ReplacedClaim): BudgetAccount {
  const charged = replaced.isCharged ? replaced.claim.reservedTokens : 0
  return {
    ...budget,
    reservedTokens: budget.reservedTokens - replaced.claim.reservedTokens,
    spentTokens: budget.spentTokens + charged
  }
}

function addTarget (targets: readonly string[], claim: Claim): string[] {
  return [...targets.filter(target => target !== claim.target), claim.target].slice(-MAX_STORED_TARGETS)
}

function countChars (turn: TurnRow): number {
  return turn.messages.reduce((sum, message) => sum + message.content.length, turn.answer.text.length)
}
