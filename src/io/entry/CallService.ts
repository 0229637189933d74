import { Left, Right, type Either } from 'purify-ts'
import {
  CallProcedure, EphemeralLedger, getRequestDigest, KeyLedger, type CallLedger, type CallSpec, type Reply
} from '../../core/call/index.js'
import type { Configuration, ProgramStructure } from '../../core/config/index.js'
import { Trace } from '../../core/explain/index.js'
import type { Refusal } from '../../core/reason/index.js'
import { getSessionContext, SessionLedger, type SessionRow } from '../../core/session/index.js'
import type { CallerStream } from './CallerStream.js'
import type { EntryState } from './EntryState.js'
import { ProcedureRunner } from './ProcedureRunner.js'
import type { CallBody, CompletionBody } from './requests.js'

/** Identity of a request and its caller. */
export interface CallerInfo {
  readonly requestId: string
  readonly workspace: string
  readonly isFirstSend: boolean
  readonly isCallerDisconnected: () => boolean
}

/** A validated call with its specification and ledger. */
export interface PreparedCall {
  readonly spec: CallSpec
  readonly ledger: CallLedger
  readonly session: string
  readonly call: number
  readonly requestDigest: string
}

/** A numbered call of a session whose body has been parsed. */
export interface NumberedCall {
  readonly session: SessionRow
  readonly call: number
  readonly body: CallBody
}

/** Converts requests to calls and runs them. */
export class CallService {
  private readonly _state: EntryState

  constructor (state: EntryState) {
    this._state = state
  }

  /** Prepares a chat completion that belongs to no session. */
  prepareCompletion (configuration: Configuration, caller: CallerInfo, body: CompletionBody): Either<Refusal, PreparedCall> {
    return findProgram(configuration, caller.workspace, body.model).chain(program => {
      const requestedTokens = body.max_completion_tokens ?? body.max_tokens
      const spec = toModelSpec(caller.workspace, program, body.messages, requestedTokens)
      return checkTokens(program, requestedTokens).map(() => this._prepareEphemeral(caller, spec))
    })
  }

  /** Prepares a request to a plain service that belongs to no session. */
  prepareService (configuration: Configuration, caller: CallerInfo, request: ServiceRequest): Either<Refusal, PreparedCall> {
    const isAllowed = configuration.getWorkspace(caller.workspace)?.services.includes(request.service) === true
    if (!isAllowed) return Left({ reason: 'service-unknown' })
    return toServiceSpec(configuration, caller.workspace, '', request).chain<Refusal, PreparedCall>(spec => {
      if (spec.repeatable && request.idempotencyKey === undefined) return Right(this._prepareEphemeral(caller, spec))
      if (request.idempotencyKey === undefined) return Left({ reason: 'idempotency-key-missing' })
      const requestDigest = getRequestDigest(spec)
      const { workspace } = caller
      const ledger = new KeyLedger({ workspace, service: request.service, idempotencyKey: request.idempotencyKey, requestDigest })
      return Right({ spec, ledger, session: '', call: 0, requestDigest })
    })
  }

  /** Prepares a numbered call of a session. */
  prepareCall (configuration: Configuration, caller: CallerInfo, request: NumberedCall): Either<Refusal, PreparedCall> {
    const { session, call, body } = request
    return findProgram(configuration, caller.workspace, session.program).chain(program =>
      toCallSpec(configuration, caller.workspace, program, body).map(spec => {
        const requestDigest = getRequestDigest(spec)
        const ledger = new SessionLedger({
          session: session.id,
          workspace: caller.workspace,
          call,
          requestDigest,
          maxTokens: spec.maxTokens,
          maxRepeats: program.maxRepeats
        })
        return { spec, ledger, session: session.id, call, requestDigest }
      }))
  }

  /** Runs a call; calls `onReply` once, possibly before the procedure of the call has completed. */
  async run (prepared: PreparedCall, caller: CallerInfo, stream: CallerStream | undefined, onReply: (reply: Reply) => void): Promise<void> {
    const state = this._state
    const trace = new Trace(state.clock)
    const receivedAt = state.clock.now()
    trace.add('received', `at entry ${state.settings.id}`)
    const procedure = new CallProcedure({
      ...prepared,
      ...caller,
      entry: state.settings.id,
      selector: state.selector,
      retryBudget: state.retryBudget,
      clock: state.clock,
      trace,
      getContext: rows => getSessionContext(rows, prepared.session),
      onRetry: reason => { state.metrics.addRetry(reason) }
    })
    let hasReplied = false
    const replyOnce = (reply: Reply): void => {
      if (hasReplied) return
      hasReplied = true
      this._addToRequestLog(prepared, caller, trace, receivedAt, reply)
      onReply(reply)
    }
    state.shares.add(caller.workspace)
    try {
      const runner = new ProcedureRunner({ state, session: prepared.session, stream, onReply: replyOnce })
      await runner.run(procedure.run())
    } finally {
      state.shares.remove(caller.workspace)
    }
  }

  private _prepareEphemeral (caller: CallerInfo, spec: CallSpec): PreparedCall {
    const ledger = new EphemeralLedger(`${this._state.settings.id}/${caller.requestId}`)
    return { spec, ledger, session: '', call: 0, requestDigest: getRequestDigest(spec) }
  }

  private _addToRequestLog (prepared: PreparedCall, caller: CallerInfo, trace: Trace, receivedAt: number, reply: Reply): void {
    this._state.requestLog.add({
      id: caller.requestId,
      workspace: caller.workspace,
      kind: prepared.spec.kind,
      session: prepared.session,
      call: prepared.call,
      receivedAt,
      endedAt: this._state.clock.now(),
      result: reply.type === 'refusal' ? reply.refusal.reason : 'answered',
      steps: trace.getSteps()
    })
  }
}

/** A request to one operation of a plain service. */
export interface ServiceRequest {
  readonly service: string
  readonly operation: string
  readonly idempotencyKey: string | undefined
  readonly contentType: string
  readonly body: string
}

function findProgram (configuration: Configuration, workspace: string, name: string): Either<Refusal, ProgramStructure> {
  const isAllowed = configuration.getWorkspace(workspace)?.programs.includes(name) === true
  const program = isAllowed ? configuration.getProgram(name) : undefined
  return program === undefined ? Left({ reason: 'program-unknown' }) : Right(program)
}

function checkTokens (program: ProgramStructure, requestedTokens: number | undefined): Either<Refusal, true> {
  if (requestedTokens === undefined || requestedTokens <= program.maxTokensPerCall) return Right(true)
  return Left({ reason: 'budget-tokens', detail: 'one call', members: { limitTokens: program.maxTokensPerCall, askedTokens: requestedTokens } })
}

function toModelSpec (workspace: string, program: ProgramStructure, messages: CallSpec['messages'], requestedTokens: number | undefined): CallSpec {
  return {
    kind: 'model',
    workspace,
    program: program.name,
    service: program.service,
    operation: '',
    repeatable: true,
    messages,
    maxTokens: requestedTokens ?? program.maxTokensPerCall,
    body: '',
    contentType: '',
    timeoutMs: program.callTimeoutSeconds * 1000
  }
}

function toServiceSpec (
  configuration: Configuration, workspace: string, program: string, request: ServiceRequest
): Either<Refusal, CallSpec> {
  const operation = configuration.getOperation(request.service, request.operation)
  if (operation === undefined) return Left({ reason: 'service-unknown' })
  return Right({
    kind: 'service',
    workspace,
    program,
    service: request.service,
    operation: request.operation,
    repeatable: operation.repeatable,
    messages: [],
    maxTokens: 0,
    body: request.body,
    contentType: request.contentType,
    timeoutMs: operation.timeoutSeconds * 1000
  })
}

function toCallSpec (
  configuration: Configuration, workspace: string, program: ProgramStructure, body: CallBody
): Either<Refusal, CallSpec> {
  if (body.type === 'model') {
    return checkTokens(program, body.max_tokens).map(() => toModelSpec(workspace, program, body.messages, body.max_tokens))
  }
  if (!program.tools.includes(body.service)) return Left({ reason: 'service-unknown' })
  return toServiceSpec(configuration, workspace, program.name, {
    service: body.service,
    operation: body.operation,
    idempotencyKey: undefined,
    contentType: 'application/json',
    body: JSON.stringify(body.body ?? null)
  })
}
