import { Left, Right, type Either } from 'purify-ts'
import { ulid } from 'ulid'
import type { Configuration } from '../../core/config/index.js'
import type { Refusal } from '../../core/reason/index.js'
import { SessionOpening, type SessionRow } from '../../core/session/index.js'
import type { CallerInfo } from './CallService.js'
import type { OpenBody } from './requests.js'

/** Builds the opening of a session; the budget that the caller requests is capped at the program's. */
export function toOpening (configuration: Configuration, caller: CallerInfo, body: OpenBody): Either<Refusal, SessionOpening> {
  const isAllowed = configuration.getWorkspace(caller.workspace)?.programs.includes(body.program) === true
  const program = isAllowed ? configuration.getProgram(body.program) : undefined
  if (program === undefined) return Left({ reason: 'program-unknown' })
  const { budget } = program
  return Right(new SessionOpening({
    id: body.id ?? ulid(),
    workspace: caller.workspace,
    program: program.name,
    ...(body.parent === undefined ? {} : { parent: body.parent }),
    tokens: Math.min(budget.tokens, body.budget.tokens ?? budget.tokens),
    calls: Math.min(budget.calls, body.budget.calls ?? budget.calls),
    seconds: Math.min(budget.seconds, body.budget.seconds ?? budget.seconds),
    maxChildren: program.maxChildren
  }))
}

/** Builds the refusal for a missing turn: its call is pending or out of order, or the ledger can't be read. */
export function toMissingTurnRefusal (session: SessionRow, call: number, isRead: boolean): Refusal {
  if (!isRead) return { reason: 'ledger-unreadable', retryAfterSeconds: 1 }
  if (session.pending?.call === call) return { reason: 'call-pending', detail: 'send the call again to wait for its answer', retryAfterSeconds: 1 }
  return { reason: 'call-out-of-order', members: { nextCall: session.nextCall } }
}

/** Parses the number of a call: a whole number from 1 to 999999. */
export function parseCallNumber (text: string): Either<Refusal, number> {
  const isNumber = /^[1-9][0-9]{0,5}$/.test(text)
  return isNumber ? Right(Number(text)) : Left({ reason: 'invalid-request', detail: 'the call number is a whole number from 1' })
}
