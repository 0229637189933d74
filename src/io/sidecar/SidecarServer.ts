import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import type { Dispatch } from '../../core/call/index.js'
import type { SidecarSettings } from '../../core/config/index.js'
import type { RefusalReason } from '../../core/reason/index.js'
import { TicketPurpose, type TicketClaims, type TicketSigner } from '../../core/ticket/index.js'
import { parseJson, readBody, sendJson, sendRefusal, startServer, type RequestHandler, type RunningServer } from '../http/index.js'
import { createSidecarRouter } from './SidecarRouter.js'
import type { SidecarService } from './SidecarService.js'
import { digestBody, LOAD_HEADER, TICKET_SCHEME } from './ticketScheme.js'

/** Largest body of a dispatch, in bytes; it holds the whole history of a session with its framing. */
const MAX_DISPATCH_BYTES = 16_777_216

/** Serves entries: dispatches and response streams over plain HTTP, control calls over tRPC. */
export class SidecarServer {
  private readonly _service: SidecarService
  private readonly _signer: TicketSigner
  private readonly _control: RequestHandler

  constructor (service: SidecarService, signer: TicketSigner) {
    this._service = service
    this._signer = signer
    this._control = createHTTPHandler({
      router: createSidecarRouter(service),
      basePath: '/trpc/',
      createContext: ({ req }) => ({ refusal: this._findControlRefusal(req) })
    })
  }

  /** Starts listening. */
  async start (settings: SidecarSettings): Promise<RunningServer> {
    return await startServer({ ...settings.listen, limits: settings.limits, handler: (req, res) => { this._handle(req, res) } })
  }

  private _handle (req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://sidecar')
    if (url.pathname.startsWith('/trpc/')) this._control(req, res)
    else if (url.pathname === '/dispatch' && req.method === 'POST') void this._dispatch(req, res)
    else if (url.pathname === '/answers' && req.method === 'GET') this._attach(req, res, url)
    else if (url.pathname === '/healthz') sendJson(res, 200, { status: 'ok' })
    else if (url.pathname === '/readyz') this._sendReadiness(res)
    else if (url.pathname === '/metrics') void this._sendMetrics(res)
    else sendRefusal(res, { reason: 'route-unknown' })
  }

  private async _dispatch (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const ticket = this._verify(req)
    const body = await readBody(req, MAX_DISPATCH_BYTES)
    if (body.isLeft()) return this._refuse(res, 'body-too-large')
    const bytes = body.unsafeCoerce()
    const parsed = parseJson(bytes)
    if (ticket.isLeft()) return this._refuse(res, ticket.extract() as RefusalReason)
    const claims = ticket.unsafeCoerce()
    if (claims.purpose !== TicketPurpose.Dispatch || claims.bodyDigest !== digestBody(bytes)) return this._refuse(res, 'ticket-forged')
    if (parsed.isLeft()) return this._refuse(res, 'malformed-json')
    this._admit(claims, parsed.unsafeCoerce() as Dispatch, res)
  }

  private _admit (claims: TicketClaims, dispatch: Dispatch, res: ServerResponse): void {
    this._service.dispatch(claims, dispatch).caseOf({
      Left: reason => { sendRefusal(res, { reason }) },
      Right: stream => {
        res.writeHead(200, { 'content-type': 'application/octet-stream', [LOAD_HEADER]: JSON.stringify(this._service.getLoad()) })
        res.flushHeaders()
        pipeline(stream, res, () => {})
      }
    })
  }

  private _attach (req: IncomingMessage, res: ServerResponse, url: URL): void {
    const ticket = this._verify(req)
    if (ticket.isLeft()) return this._refuse(res, ticket.extract() as RefusalReason)
    const stream = this._service.attach(url.searchParams.get('attempt') ?? '', Number(url.searchParams.get('from') ?? 0))
    if (stream === undefined) return sendRefusal(res, { reason: 'route-unknown' })
    res.writeHead(200, { 'content-type': 'application/octet-stream' })
    res.flushHeaders()
    pipeline(stream, res, () => {})
  }

  private _refuse (res: ServerResponse, reason: RefusalReason): void {
    this._service.metrics.addRefusal(reason)
    sendRefusal(res, { reason })
  }

  private _findControlRefusal (req: IncomingMessage): RefusalReason | undefined {
    const refusal = this._verify(req).swap().toMaybe().extract()
    if (refusal !== undefined) this._service.metrics.addRefusal(refusal)
    return refusal
  }

  private _verify (req: IncomingMessage): ReturnType<TicketSigner['verify']> {
    const header = req.headers.authorization ?? ''
    const ticket = header.startsWith(TICKET_SCHEME) ? header.slice(TICKET_SCHEME.length) : undefined
    return this._signer.verify(ticket, Date.now())
  }

  private _sendReadiness (res: ServerResponse): void {
    const { isLeaving } = this._service.getLoad()
    sendJson(res, isLeaving ? 503 : 200, { status: isLeaving ? 'leaving' : 'ready' })
  }

  private async _sendMetrics (res: ServerResponse): Promise<void> {
    const { registry } = this._service.metrics
    res.setHeader('content-type', registry.contentType)
    res.end(await registry.metrics())
  }
}
