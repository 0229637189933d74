import type { IncomingMessage, ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { Left, Right, type Either } from 'purify-ts'
import type { Reply } from '../../core/call/index.js'
import type { TurnRow } from '../../core/history/index.js'
import type { Refusal } from '../../core/reason/index.js'
import { closeSession, getSessionKey, getTurnKey, openSession, type SessionRow } from '../../core/session/index.js'
import { parseJson, readBody, sendJson, sendRefusal, startServer, type RequestHandler, type RunningServer } from '../http/index.js'
import { describeError, type StateLogger } from '../process/index.js'
import { Authenticator, getHeader, type IdentifiedRequest } from './Authenticator.js'
import { CallerStream } from './CallerStream.js'
import { CallService, type CallerInfo, type PreparedCall } from './CallService.js'
import { RequestKind } from './EntryMetrics.js'
import type { EntryState } from './EntryState.js'
import { createOperatorRouter } from './OperatorRouter.js'
import { ProcedureRunner } from './ProcedureRunner.js'
import { getCallHeaders, sendCompletion, sendServiceResponse, toSessionView } from './responses.js'
import { CALL_BODY, COMPLETION_BODY, matchPath, OPEN_BODY, parseBody } from './requests.js'
import { parseCallNumber, toMissingTurnRefusal, toOpening } from './sessionRequests.js'

/** Serves the HTTP interfaces of an entry to callers and operators. */
export class EntryServer {
  private readonly _state: EntryState
  private readonly _calls: CallService
  private readonly _operatorHandler: RequestHandler
  private readonly _authenticator: Authenticator
  private readonly _isReady: () => boolean
  private readonly _logger: StateLogger
  private _isStopping = false

  constructor (state: EntryState, operatorKeys: readonly string[], logger: StateLogger, isReady: () => boolean) {
    this._state = state
    this._logger = logger
    this._calls = new CallService(state)
    this._authenticator = new Authenticator({ state, operatorKeys, isReady })
    this._isReady = isReady
    this._operatorHandler = createHTTPHandler({
      router: createOperatorRouter(state),
      basePath: '/trpc/',
      createContext: ({ req }) => ({ isOperator: this._authenticator.isOperator(req) })
    })
  }

  /** Starts listening. */
  async start (): Promise<RunningServer> {
    const { listen, limits } = this._state.settings
    return await startServer({ ...listen, limits, handler: (req, res) => { this._handle(req, res) } })
  }

  /** Makes the readiness check fail; requests that still arrive are served. */
  setStopping (): void {
    this._isStopping = true
  }

  private _handle (req: IncomingMessage, res: ServerResponse): void {
    const path = new URL(req.url ?? '/', 'http://entry').pathname
    if (path.startsWith('/trpc/')) this._operatorHandler(req, res)
    else if (path === '/healthz') sendJson(res, 200, { status: 'ok' })
    else if (path === '/readyz') this._sendReadiness(res)
    else if (path === '/metrics') void this._sendMetrics(res)
    else void this._serve(req, res, path)
  }

  private async _serve (req: IncomingMessage, res: ServerResponse, path: string): Promise<void> {
    this._state.changeInProgress(1)
    if (this._isStopping) res.setHeader('connection', 'close')
    try {
      const identified = this._authenticator.identify(req, res)
      await identified.caseOf({
        Left: async refusal => { await this._refuseUnread(req, res, refusal) },
        Right: async request => { await this._route(request, path) }
      })
    } catch (err) {
      // After an unexpected error it is unknown whether the request has run.
      this._logger.error('request failed', { path, error: describeError(err) })
      if (res.headersSent) res.destroy()
      else this._refuse(res, { reason: 'outcome-unknown' })
    } finally {
      this._state.changeInProgress(-1)
    }
  }

  private async _route (request: IdentifiedRequest, path: string): Promise<void> {
    const { req } = request
    const call = matchPath('/v1/sessions/:id/calls/:call', path)
    const close = matchPath('/v1/sessions/:id/close', path)
    const session = matchPath('/v1/sessions/:id', path)
    const service = matchPath('/v1/services/:service/:operation', path)
    if (req.method === 'POST' && path === '/v1/chat/completions') return await this._runCompletion(request)
    if (req.method === 'POST' && path === '/v1/sessions') return await this._openSession(request)
    if (req.method === 'POST' && call !== undefined) return await this._runCall(request, call.id!, call.call!)
    if (req.method === 'GET' && call !== undefined) return await this._sendTurn(request, call.id!, call.call!)
    if (req.method === 'POST' && close !== undefined) return await this._closeSession(request, close.id!)
    if (req.method === 'GET' && session !== undefined) return await this._showSession(request, session.id!)
    if (req.method === 'POST' && service !== undefined) return await this._runServiceRequest(request, service.service!, service.operation!)
    await this._refuseUnread(req, request.res, { reason: 'route-unknown' })
  }

  private async _runCompletion (request: IdentifiedRequest): Promise<void> {
    const { configuration, caller, res } = request
    const body = (await this._readJson(request)).chain(raw => parseBody(COMPLETION_BODY, raw))
    const prepared = body.chain(parsed => this._calls.prepareCompletion(configuration, caller, parsed))
    if (prepared.isLeft()) return this._refuse(res, prepared.extract() as Refusal)
    const { stream: isStreamed, model } = body.unsafeCoerce()
    await this._runModel(request, prepared.unsafeCoerce(), isStreamed, model, RequestKind.Completion)
  }

  private async _openSession (request: IdentifiedRequest): Promise<void> {
    const { res, caller } = request
    const body = (await this._readJson(request)).chain(raw => parseBody(OPEN_BODY, raw))
    const opening = body.chain(parsed => toOpening(request.configuration, request.caller, parsed))
    if (opening.isLeft()) return this._refuse(res, opening.extract() as Refusal)
    await this._runSession(openSession(opening.unsafeCoerce(), this._state.clock), reply => {
      this._sendSession(res, caller, 201, reply)
    })
  }

  private async _closeSession (request: IdentifiedRequest, id: string): Promise<void> {
    const { res, caller } = request
    request.req.resume()
    await this._runSession(closeSession(id, caller.workspace, this._state.clock), reply => {
      if (reply.type === 'session') this._state.metrics.recordSession(this._state.clock.now() - reply.session.openedAt)
      this._sendSession(res, caller, 200, reply)
    })
  }

  private async _runCall (request: IdentifiedRequest, id: string, callText: string): Promise<void> {
    const { res, caller, configuration } = request
    const raw = await this._readJson(request)
    const body = raw.chain(parsed => parseBody(CALL_BODY, parsed))
    const call = parseCallNumber(callText)
    const session = await this._readSession(id, caller)
    const prepared = body.chain(parsed => call.chain(number =>
      session.chain(row => this._calls.prepareCall(configuration, caller, { session: row, call: number, body: parsed }))))
    if (prepared.isLeft()) return this._refuse(res, prepared.extract() as Refusal)
    const parsed = body.unsafeCoerce()
    const { program } = session.unsafeCoerce()
    if (parsed.type === 'model') return await this._runModel(request, prepared.unsafeCoerce(), parsed.stream, program, RequestKind.Call)
    await this._runService(request, prepared.unsafeCoerce(), RequestKind.Call)
  }

  private async _runServiceRequest (request: IdentifiedRequest, service: string, operation: string): Promise<void> {
    const { res, req, caller, configuration } = request
    const body = await this._readBytes(request)
    const prepared = body.chain(bytes => this._calls.prepareService(configuration, caller, {
      service,
      operation,
      idempotencyKey: getHeader(req, 'idempotency-key'),
      contentType: getHeader(req, 'content-type') ?? 'application/json',
      body: bytes.toString('utf8')
    }))
    if (prepared.isLeft()) return this._refuse(res, prepared.extract() as Refusal)
    await this._runService(request, prepared.unsafeCoerce(), RequestKind.Service)
  }

  private async _runModel (
    request: IdentifiedRequest, prepared: PreparedCall, isStreamed: boolean, model: string, kind: RequestKind
  ): Promise<void> {
    const { res, caller } = request
    const identity = { requestId: caller.requestId, session: prepared.session, call: prepared.call }
    const stream = isStreamed ? this._createStream(res, identity) : undefined
    await this._calls.run(prepared, caller, stream, reply => {
      this._count(kind, reply)
      sendCompletion(res, stream, model, identity, reply)
    })
  }

  private async _runService (request: IdentifiedRequest, prepared: PreparedCall, kind: RequestKind): Promise<void> {
    const { res, caller } = request
    const identity = { requestId: caller.requestId, session: prepared.session, call: prepared.call }
    await this._calls.run(prepared, caller, undefined, reply => {
      this._count(kind, reply)
      sendServiceResponse(res, identity, reply)
    })
  }

  private _createStream (res: ServerResponse, identity: Parameters<typeof getCallHeaders>[0]): CallerStream {
    const arrivedAt = this._state.clock.now()
    return new CallerStream({
      res,
      stallMs: this._state.settings.limits.stallMs,
      headers: getCallHeaders(identity),
      onFirstByte: () => { this._state.metrics.recordFirstToken(this._state.clock.now() - arrivedAt) }
    })
  }

  private async _runSession (procedure: ReturnType<typeof openSession>, onReply: (reply: Reply) => void): Promise<void> {
    await new ProcedureRunner({ state: this._state, session: '', onReply }).run(procedure)
  }

  private _sendSession (res: ServerResponse, caller: CallerInfo, status: number, reply: Reply): void {
    this._count(RequestKind.Session, reply)
    const headers = getCallHeaders({ requestId: caller.requestId, session: '', call: 0 })
    if (reply.type === 'session') sendJson(res, status, toSessionView(reply.session), headers)
    else if (reply.type === 'refusal') sendRefusal(res, reply.refusal)
  }

  private async _showSession (request: IdentifiedRequest, id: string): Promise<void> {
    (await this._readSession(id, request.caller)).caseOf({
      Left: refusal => { this._refuse(request.res, refusal) },
      Right: row => { sendJson(request.res, 200, toSessionView(row)) }
    })
  }

  private async _sendTurn (request: IdentifiedRequest, id: string, callText: string): Promise<void> {
    const { res, caller } = request
    const session = await this._readSession(id, caller)
    const call = session.chain(() => parseCallNumber(callText))
    if (call.isLeft()) return this._refuse(res, call.extract() as Refusal)
    const number = call.unsafeCoerce()
    const key = getTurnKey(id, number)
    const rows = await this._state.reader.read([key]).catch(() => undefined)
    const turn = rows?.get(key)?.value as TurnRow | undefined
    if (turn === undefined) return this._refuse(res, toMissingTurnRefusal(session.unsafeCoerce(), number, rows !== undefined))
    const identity = { requestId: caller.requestId, session: id, call: number }
    const reply: Reply = turn.outcome === 'answered'
      ? { type: 'answer', turn, isReplay: true }
      : { type: 'refusal', refusal: { reason: 'outcome-unknown' } }
    this._count(RequestKind.Call, reply)
    if (turn.kind === 'model') sendCompletion(res, undefined, session.unsafeCoerce().program, identity, reply)
    else sendServiceResponse(res, identity, reply)
  }

  private async _readSession (id: string, caller: CallerInfo): Promise<Either<Refusal, SessionRow>> {
    const rows = await this._state.reader.read([getSessionKey(id)]).catch(() => undefined)
    if (rows === undefined) return Left({ reason: caller.isFirstSend ? 'store-unavailable' : 'ledger-unreadable', retryAfterSeconds: 1 })
    const row = rows.get(getSessionKey(id))?.value as SessionRow | undefined
    return row === undefined || row.workspace !== caller.workspace ? Left({ reason: 'session-unknown' }) : Right(row)
  }

  private async _readJson (request: IdentifiedRequest): Promise<Either<Refusal, unknown>> {
    return (await this._readBytes(request)).chain(parseJson)
  }

  private async _readBytes (request: IdentifiedRequest): Promise<Either<Refusal, Buffer>> {
    return await readBody(request.req, this._state.settings.limits.bodyBytes)
  }

  /** Refuses a request without reading its body, which is discarded. */
  private async _refuseUnread (req: IncomingMessage, res: ServerResponse, refusal: Refusal): Promise<void> {
    req.resume()
    this._refuse(res, refusal)
  }

  private _refuse (res: ServerResponse, refusal: Refusal): void {
    this._state.metrics.addRefusal(refusal.reason)
    sendRefusal(res, refusal)
  }

  private _count (kind: RequestKind, reply: Reply): void {
    if (reply.type === 'refusal') this._state.metrics.addRefusal(reply.refusal.reason)
    else this._state.metrics.addResponse(kind)
  }

  private _sendReadiness (res: ServerResponse): void {
    const isReady = this._isReady() && !this._isStopping
    sendJson(res, isReady ? 200 : 503, { status: this._isStopping ? 'stopping' : isReady ? 'ready' : 'not-ready' })
  }

  private async _sendMetrics (res: ServerResponse): Promise<void> {
    const { registry } = this._state.metrics
    res.setHeader('content-type', registry.contentType)
    res.end(await registry.metrics())
  }
}
