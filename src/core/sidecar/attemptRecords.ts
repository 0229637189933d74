import { AttemptState, type Dispatch } from '../call/index.js'
import type { RefusalReason } from '../reason/index.js'
import type { AttemptRecord } from './AttemptTable.js'
import type { RunTermination } from './RunTermination.js'

/** Termination of an attempt that was dropped from the queue before it started. */
export const DROPPED_TERMINATION: RunTermination = {
  type: 'aborted',
  answer: { status: 503, contentType: 'text/plain', text: '', tokens: 0, finish: 'dropped' },
  cachedTokens: 0,
  promptTokens: 0
}

const NOT_STARTED = { startedAt: 0, firstByteAt: 0, lastTokenAt: 0, tokens: 0 } as const

/** Creates the record of a queued attempt. */
export function toQueuedRecord (dispatch: Dispatch, now: number): AttemptRecord {
  const { claim, ledgerKey, holdKey } = dispatch
  return {
    ...NOT_STARTED,
    attempt: claim.attempt,
    ledgerKey,
    epoch: claim.epoch,
    seenAt: now,
    state: AttemptState.Queued,
    maxTokens: claim.reservedTokens,
    deadline: claim.deadline,
    holdKey,
    queuedAt: now
  }
}

/** Creates the record of an attempt that was refused or cancelled, which keeps it from running later. */
export function toNotRunRecord (attempt: string, ledgerKey: string, epoch: number, reason: RefusalReason, now: number): AttemptRecord {
  return {
    ...NOT_STARTED, attempt, ledgerKey, epoch, reason, seenAt: now, state: AttemptState.NotRun, maxTokens: 0, deadline: now, holdKey: '', queuedAt: now
  }
}

/** Splits an attempt id (`<ledger key>#<epoch>`) into its components. */
export function parseAttemptId (attempt: string): { ledgerKey: string, epoch: number } {
  const separator = attempt.lastIndexOf('#')
  return { ledgerKey: attempt.slice(0, separator), epoch: Number(attempt.slice(separator + 1)) }
}
