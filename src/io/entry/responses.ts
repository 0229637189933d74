import type { ServerResponse } from 'node:http'
import type { Reply } from '../../core/call/index.js'
import type { TurnRow } from '../../core/history/index.js'
import type { SessionRow } from '../../core/session/index.js'
import { sendJson, sendRefusal } from '../http/index.js'
import type { CallerStream } from './CallerStream.js'

/** Identifies the request, session and call that a response belongs to. */
export interface CallIdentity {
  readonly requestId: string
  /** Id of the session; empty outside a session. */
  readonly session: string
  /** Number of the call; 0 outside a session. */
  readonly call: number
}

/** Gets the headers that identify a response. */
export function getCallHeaders (identity: CallIdentity): Record<string, string> {
  const headers: Record<string, string> = { 'wisteria-request-id': identity.requestId }
  if (identity.session !== '') headers['wisteria-session'] = identity.session
  if (identity.call > 0) headers['wisteria-call'] = String(identity.call)
  return headers
}

/** Sends the reply to a model call in the chat completions format. */
export function sendCompletion (
  res: ServerResponse, stream: CallerStream | undefined, model: string, identity: CallIdentity, reply: Reply
): void {
  if (reply.type === 'refusal') return sendCompletionRefusal(res, stream, reply)
  if (reply.type === 'session') return
  if (stream === undefined) return sendJson(res, getStatus(reply.turn), toCompletion(reply.turn, model, identity), getCallHeaders(identity))
  if (!stream.hasStarted()) {
    // The complete response is already stored, so it is sent as one event.
    void stream.write('replay', Buffer.from(`data: ${JSON.stringify(toCompletionChunk(reply.turn, model, identity))}\n\n`)).then(() => { stream.end() })
    return
  }
  stream.end()
}

/** Sends the target's response to a service call unchanged, or a refusal. */
export function sendServiceResponse (res: ServerResponse, identity: CallIdentity, reply: Reply): void {
  if (reply.type === 'refusal') return sendRefusal(res, reply.refusal)
  if (reply.type === 'session' || res.headersSent || res.destroyed) return
  const { answer } = reply.turn
  const body = Buffer.from(answer.text)
  res.writeHead(answer.status, { 'content-type': answer.contentType, 'content-length': body.length, ...getCallHeaders(identity) })
  res.end(body)
}

/** Builds the representation of a session for its caller. */
export function toSessionView (session: SessionRow): Record<string, unknown> {
  const { budget } = session
  return {
    id: session.id,
    program: session.program,
    ...(session.parent === undefined ? {} : { parent: session.parent }),
    state: session.state,
    nextCall: session.nextCall,
    isCallPending: session.pending !== undefined,
    budget: {
      tokens: budget.tokens,
      calls: budget.calls,
      deadline: new Date(budget.deadline).toISOString(),
      spentTokens: budget.spentTokens,
      spentCalls: budget.spentCalls,
      reservedTokens: budget.reservedTokens,
      lentTokens: budget.lentTokens
    },
    children: session.children
  }
}

function sendCompletionRefusal (res: ServerResponse, stream: CallerStream | undefined, reply: Extract<Reply, { type: 'refusal' }>): void {
  if (stream?.hasStarted() === true) stream.fail(reply.refusal)
  else sendRefusal(res, reply.refusal)
}

function getStatus (turn: TurnRow): number {
  return turn.answer.finish === 'error' ? turn.answer.status : 200
}

function toCompletion (turn: TurnRow, model: string, identity: CallIdentity): unknown {
  if (turn.answer.finish === 'error') return { error: { message: turn.answer.text, code: 'target-error' } }
  return {
    id: identity.requestId,
    object: 'chat.completion',
    model,
    choices: [{ index: 0, message: { role: 'assistant', content: turn.answer.text }, finish_reason: turn.answer.finish }],
    usage: { completion_tokens: turn.answer.tokens }
  }
}

function toCompletionChunk (turn: TurnRow, model: string, identity: CallIdentity): unknown {
  return {
    id: identity.requestId,
    object: 'chat.completion.chunk',
    model,
    choices: [{ index: 0, delta: { role: 'assistant', content: turn.answer.text }, finish_reason: turn.answer.finish }]
  }
}
