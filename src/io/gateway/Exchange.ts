import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../../core/clock/index.js'
import type { CallProtocol, CallRequest, ResponseHead } from '../../core/forward/index.js'
import type { ByteBudget, HeldBytes } from '../../core/limits/index.js'
import { Outcome, PROBLEM_CONTENT_TYPE, REFUSALS, toProblem, type Refusal } from '../../core/reason/index.js'
import type { ConfigHolder, Route } from '../../core/route/index.js'
import { scopeId, type Workspace } from '../../core/workspace/index.js'
import type { ContentUse, SuspectDigests } from '../../core/suspect/index.js'
import type { BufferGarbage, DecisionLog } from '../process/index.js'
import { BatchWriter } from './BatchWriter.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import { UNCONFIRMED_RETRY_SECONDS, type KeyAdmission } from './KeyGate.js'

/** Headers of a response after which the connection is closed. */
const CLOSE_HEADERS = ['Connection', 'close']

/** Bytes that wait in the process for a caller who does not read on: in the writer, in the connection to the target and in its parser. */
const UNREAD_BYTES = 131_072

/** Dependencies that all exchanges of a gateway share. */
export interface ExchangeContext {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
  readonly protocol: CallProtocol
  readonly configs: ConfigHolder
  /** Bytes that all requests together hold in memory. */
  readonly memory: ByteBudget
  /** Bounds the memory of buffers that are no longer in use. */
  readonly garbage: BufferGarbage
  /** Checks whether the connection of a response is closed after it, because the gateway is stopping. */
  readonly closesAfter: (res: ServerResponse) => boolean
}

/** Options of {@link Exchange}. */
export interface ExchangeOptions {
  readonly context: ExchangeContext
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly call: CallRequest
  readonly route: Route
  readonly configVersion: number
  /** Time at which the head had arrived, by the steady clock in milliseconds. */
  readonly arrivedAt: number
  /** Workspace of the caller's key; undefined where the request needs none. */
  readonly workspace: Workspace | undefined
  /** Checks the key by the newest configuration. */
  readonly admit: () => Promise<KeyAdmission>
}

/** What identifies a request when its caller resends it. */
export interface SuspectRequest {
  readonly digests: SuspectDigests
  /** Address of the caller's connection. */
  readonly address: string | undefined
  /** The request among those in progress with the same content. */
  readonly contentUse: ContentUse
}

/** One request of a caller with its response. */
export class Exchange {
  readonly call: CallRequest
  readonly route: Route
  readonly configVersion: number
  readonly startedAt: number
  /** Time by which the caller needs its response, by the steady clock. */
  readonly deadline: number
  /** Workspace of the caller's key, by the newest configuration that the key was checked by; undefined where the request needs none. */
  workspace: Workspace | undefined
  /** Bytes that the request holds in memory until it is over. */
  readonly held: HeldBytes
  /** Identifies the request when its caller resends it; undefined before its body was read. */
  suspect: SuspectRequest | undefined
  private readonly _context: ExchangeContext
  private readonly _res: ServerResponse
  private readonly _admit: () => Promise<KeyAdmission>
  private readonly _callerDisconnected = new AbortController()
  /** True once this gateway has closed the connection of an incomplete response. */
  private _isAborted = false
  private _lastReceivedAt: number | undefined
  private _lastSentAt: number | undefined
  private _sentBytes = 0
  private _isNotRun = false
  private readonly _writer: BatchWriter

  constructor (options: ExchangeOptions) {
    const { context, call, route, res, arrivedAt, workspace, admit } = options
    this._context = context
    this._res = res
    this._writer = new BatchWriter(res)
    this.held = context.memory.open(options.req.socket.remoteAddress)
    this.call = call
    this.route = route
    this.configVersion = options.configVersion
    this.startedAt = arrivedAt
    this.workspace = workspace
    this._admit = admit
    this.deadline = this.startedAt + Math.min(call.timeoutMs ?? Infinity, route.timeoutMs)
    res.on('close', () => { if (!res.writableEnded || !res.writableFinished) this._onDisconnected() })
  }

  /** Gets a signal that is aborted when the caller closes its connection before the response is complete. */
  get callerDisconnected (): AbortSignal {
    return this._callerDisconnected.signal
  }

  /** Checks the key again by the newest configuration; returns the refusal of a request that must not run any more. */
  async checkKey (): Promise<Refusal | undefined> {
    const admission = await this._admit()
    if (admission.isLeft()) return admission.extract() as Refusal
    const workspace = admission.unsafeCoerce()
    // The key of another workspace now: what was begun for the former one can't go on.
    if (workspace?.name !== this.workspace?.name) return { reason: 'keys-unconfirmed', retryAfterSeconds: UNCONFIRMED_RETRY_SECONDS }
    this.workspace = workspace
    return undefined
  }

  /** Gets the id under which state of this request is kept in the store, in memory and at peers; see {@link scopeId}. */
  scope (id: string): string {
    return scopeId(this.workspace, id)
  }

  /** Gets the priority of the request: its workspace's, or else its route's; 0 is the highest. */
  getPriority (): number {
    return this.workspace?.priority ?? this.route.priority
  }

  /** Gets the milliseconds until the deadline. */
  getRemainingMs (): number {
    return this.deadline - this._context.clock.now()
  }

  /** Checks whether the head of the response was sent. */
  hasStarted (): boolean {
    return this._res.headersSent
  }

  /** Checks whether the request was refused with the promise that it has not run. */
  isRefusedAsNotRun (): boolean {
    return this._isNotRun
  }

  /** Records that bytes of the response have arrived from a target. */
  recordReceived (): void {
    this._lastReceivedAt = this._context.clock.now()
  }

  /** Sends a target's complete response. */
  sendComplete (head: ResponseHead, body: Buffer): void {
    if (this._isClosed()) return
    this._res.writeHead(head.status, [...head.headers, 'Content-Length', String(body.length), ...this._getCloseHeaders()])
    this._res.end(body)
    this._recordResponse(head.status)
  }

  /** Sends the head of a response whose body follows in chunks. */
  start (head: ResponseHead): void {
    if (this._isClosed()) return
    this._res.writeHead(head.status, [...head.headers, ...this._getCloseHeaders()])
    this._context.metrics.recordFirstByte(this.route.kind, this._context.clock.now() - this.startedAt)
  }

  /** Sends a chunk; resolves when the connection accepts more or is closed. */
  async write (bytes: Buffer): Promise<void> {
    this._lastSentAt = this._context.clock.now()
    this._sentBytes += bytes.length
    this._context.garbage.add(bytes.length)
    const written = this._writer.write(bytes)
    if (!this._res.writableNeedDrain) return await written
    this.held.hold(UNREAD_BYTES)
    await written
    this.held.free(UNREAD_BYTES)
  }

  /** Holds only what of the response has not left the process, until the response is over. */
  holdUnsent (): void {
    this.held.release()
    if (this._res.closed) return
    this.held.hold(this._res.writableLength)
    this._res.on('close', () => { this.held.release() })
  }

  /** Ends a response that was sent in chunks. */
  end (): void {
    if (this._isClosed()) return
    this._writer.end()
    this._recordResponse(this._res.statusCode)
  }

  /** Closes the connection of a response that can't be completed, so that the caller doesn't take it for complete. */
  abort (cause: string): void {
    const { log, metrics } = this._context
    metrics.addRefusal('answer-interrupted')
    metrics.recordWorkspaceRequest(this.workspace?.name, 'broken-off')
    const { call, route, workspace } = this
    log.warn('answer-broken-off', { req: call.id, program: call.program?.id, workspace: workspace?.name, route: route.name, cause, ...this._getEndDetails() })
    this._isAborted = true
    this._res.destroy()
  }

  /** Refuses the request; nothing is sent when the caller has disconnected. */
  refuse (refusal: Refusal): void {
    const { log, metrics, clock } = this._context
    metrics.addRefusal(refusal.reason)
    metrics.recordWorkspaceRequest(this.workspace?.name, 'refused')
    this._isNotRun = REFUSALS[refusal.reason].outcome === Outcome.NotRun
    const tookMs = Math.round(clock.now() - this.startedAt)
    const { reason, detail, members } = refusal
    const { call, route, configVersion: config, workspace } = this
    log.info('refused', { req: call.id, program: call.program?.id, workspace: workspace?.name, route: route.name, config, reason, detail, ...members, tookMs })
    sendProblem(this._context, this._res, this.call.id, refusal)
  }

  private _onDisconnected (): void {
    this._callerDisconnected.abort()
    if (this._isAborted) return
    const { log, metrics } = this._context
    metrics.callerDisconnects.inc({ kind: this.route.kind })
    log.info('caller-disconnected', { req: this.call.id, program: this.call.program?.id, hasStarted: this.hasStarted(), ...this._getEndDetails() })
  }

  /** Gets what tells the causes of a response that ended early apart. */
  private _getEndDetails (): Record<string, number | undefined> {
    const { clock, configs } = this._context
    const now = clock.now()
    const getAgeMs = (at: number | undefined): number | undefined => at === undefined ? undefined : Math.round(now - at)
    return {
      tookMs: Math.round(now - this.startedAt),
      receivedMsAgo: getAgeMs(this._lastReceivedAt),
      sentMsAgo: getAgeMs(this._lastSentAt),
      sentBytes: this._sentBytes,
      config: this.configVersion,
      newestConfig: configs.get()?.config.version,
      configAgeMs: getAgeMs(configs.getAppliedAt())
    }
  }

  private _isClosed (): boolean {
    return this._res.destroyed || this._res.writableEnded
  }

  private _getCloseHeaders (): string[] {
    return this._context.closesAfter(this._res) ? CLOSE_HEADERS : []
  }

  private _recordResponse (status: number): void {
    const { log, metrics, clock } = this._context
    const tookMs = clock.now() - this.startedAt
    metrics.recordResponse(this.route.kind, status, tookMs)
    metrics.recordWorkspaceRequest(this.workspace?.name, 'answered')
    log.info('answered', { req: this.call.id, workspace: this.workspace?.name, route: this.route.name, status, tookMs: Math.round(tookMs) })
  }
}

/** Sends a refusal as a problem document, unless the caller has disconnected or a response has begun. */
export function sendProblem (
  context: ExchangeContext, res: ServerResponse, requestId: string | undefined, refusal: Refusal, closesConnection = false
): void {
  if (res.destroyed || res.headersSent) return
  const body = Buffer.from(JSON.stringify(toProblem(refusal)))
  const retryAfterMs = refusal.retryAfterSeconds === undefined ? undefined : refusal.retryAfterSeconds * 1_000
  res.writeHead(REFUSALS[refusal.reason].status, [
    ...context.protocol.getRefusalHeaders(requestId, retryAfterMs),
    'Content-Type', PROBLEM_CONTENT_TYPE,
    'Content-Length', String(body.length),
    ...(closesConnection || context.closesAfter(res) ? CLOSE_HEADERS : [])
  ])
  res.end(body)
}
