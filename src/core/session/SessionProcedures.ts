import { toRefusalReply, type Reply, type EffectGenerator } from '../call/index.js'
import type { Clock } from '../clock/index.js'
import { CommitResult } from '../commit/index.js'
import type { Rows, Transaction } from '../platform/index.js'
import type { Refusal } from '../reason/index.js'
import { toCloseTransaction } from './SessionClosing.js'
import type { SessionOpening } from './SessionOpening.js'
import { getSessionKey, SessionState, type SessionRow } from './SessionRow.js'

/** Time-out of the commit that opens or closes a session, in milliseconds. */
export const SESSION_COMMIT_TIMEOUT_MS = 3_000

/** Largest number of times that opening or closing is tried while other processes change the rows. */
const MAX_ROUNDS = 16

/** Opens a session, or replies with the existing session of the same id. */
export function * openSession (opening: SessionOpening, clock: Clock): EffectGenerator<void> {
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const event = yield { type: 'read', keys: opening.getKeys() }
    if (event.type !== 'rows') return yield * reply(toRefusalReply('ledger-unreadable'))
    const decision = opening.decide(event.rows, clock.now())
    if (decision.isLeft()) return yield * reply({ type: 'refusal', refusal: decision.extract() as Refusal })
    const openingDecision = decision.unsafeCoerce()
    if (openingDecision.type === 'exists') return yield * reply({ type: 'session', session: openingDecision.session })
    const result = yield * commit(openingDecision.transaction, clock)
    if (result === CommitResult.Committed) return yield * reply({ type: 'session', session: openingDecision.session })
    if (result === CommitResult.NotWritten) return yield * reply(toRefusalReply('store-unavailable'))
    // The commit may still take effect; opening is idempotent, so the caller can safely retry it.
    if (result === CommitResult.Unknown) return yield * reply(toRefusalReply('ledger-unreadable'))
  }
  yield * reply(toRefusalReply('ledger-unreadable'))
}

/** Closes a session and its open sub-agents, returns the unspent budget and releases the KV cache. */
export function * closeSession (id: string, workspace: string, clock: Clock): EffectGenerator<void> {
  yield * reply(yield * close(id, workspace, clock))
}

function * close (id: string, workspace: string, clock: Clock): EffectGenerator<Reply> {
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const rows = yield * readWithParent(id)
    if (rows === undefined) return toRefusalReply('ledger-unreadable')
    const session = rows.get(getSessionKey(id))?.value as SessionRow | undefined
    if (session === undefined || session.workspace !== workspace) return toRefusalReply('session-unknown')
    if (session.state === SessionState.Closed) return yield * release(session)
    const pending = session.pending
    if (pending !== undefined && clock.now() < pending.deadline) return toRefusalReply('call-pending')
    const childReply = yield * closeChildren(session, clock)
    if (childReply !== undefined) return childReply
    if (session.children.length > 0) continue
    const transaction = toCloseTransaction(rows, session)
    const result = yield * commit(transaction, clock)
    if (result === CommitResult.Committed) return yield * release(transaction.puts[0]!.value as SessionRow)
    if (result !== CommitResult.Conflict) return toRefusalReply('ledger-unreadable')
  }
  return toRefusalReply('ledger-unreadable')
}

function * closeChildren (session: SessionRow, clock: Clock): EffectGenerator<Reply | undefined> {
  for (const child of session.children) {
    const childReply = yield * close(child, session.workspace, clock)
    if (childReply.type === 'refusal') return childReply
  }
  return undefined
}

function * readWithParent (id: string): EffectGenerator<Rows | undefined> {
  const sessionEvent = yield { type: 'read', keys: [getSessionKey(id)] }
  if (sessionEvent.type !== 'rows') return undefined
  const parent = (sessionEvent.rows.get(getSessionKey(id))?.value as SessionRow | undefined)?.parent
  if (parent === undefined) return sessionEvent.rows
  const rowsEvent = yield { type: 'read', keys: [getSessionKey(id), getSessionKey(parent)] }
  return rowsEvent.type === 'rows' ? rowsEvent.rows : undefined
}

function * release (session: SessionRow): EffectGenerator<Reply> {
  yield { type: 'release', session: session.id, targets: session.targets }
  return { type: 'session', session }
}

function * commit (transaction: Transaction, clock: Clock): EffectGenerator<CommitResult> {
  const event = yield { type: 'commit', transaction, deadline: clock.now() + SESSION_COMMIT_TIMEOUT_MS }
  return event.type === 'commit-result' ? event.result : CommitResult.Unknown
}

function * reply (content: Reply): EffectGenerator<void> {
  yield { type: 'reply', reply: content }
}
