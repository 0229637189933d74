import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Left, Right, type Either } from 'purify-ts'
import type { LimitSettings } from '../../core/config/index.js'
import { PROBLEM_CONTENT_TYPE, toProblem, type Refusal } from '../../core/reason/index.js'

/** Handles one request. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void

/** Options of {@link startServer}. */
export interface ServerOptions {
  readonly host: string
  readonly port: number
  readonly limits: LimitSettings
  readonly handler: RequestHandler
}

/** A listening server. */
export interface RunningServer {
  readonly url: string
  readonly server: Server
}

/** Starts an HTTP server. */
export async function startServer (options: ServerOptions): Promise<RunningServer> {
  const { limits } = options
  const server = createServer({
    maxHeaderSize: limits.headerBytes,
    requestTimeout: limits.bodyTimeoutMs,
    headersTimeout: limits.bodyTimeoutMs
  }, options.handler)
  // Longer than the keep-alive time-out of callers; otherwise a request could arrive on a connection that the server is closing.
  server.keepAliveTimeout = 75_000
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, resolve)
  })
  const { port } = server.address() as AddressInfo
  return { url: `http://${options.host}:${port}`, server }
}

/** Stops a server and closes its open connections. */
export async function stopServer (running: RunningServer): Promise<void> {
  await new Promise<void>(resolve => {
    running.server.close(() => { resolve() })
    running.server.closeAllConnections()
  })
}

/** Reads a request body; a body beyond the limit is refused. */
export async function readBody (req: IncomingMessage, maxBytes: number): Promise<Either<Refusal, Buffer>> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    req.resume()
    return Left({ reason: 'body-too-large', members: { limitBytes: maxBytes } })
  }
  const chunks: Buffer[] = []
  let size = 0
  try {
    // The end of an iteration would destroy the connection, and with it the refusal of a body that is too large.
    for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) return Left({ reason: 'body-too-large', members: { limitBytes: maxBytes } })
      chunks.push(chunk)
    }
  } catch {
    return Left({ reason: 'body-timeout' })
  }
  return Right(Buffer.concat(chunks))
}

/** Parses a JSON object. */
export function parseJson (bytes: Buffer): Either<Refusal, unknown> {
  try {
    return Right(JSON.parse(bytes.toString('utf8')) as unknown)
  } catch (err) {
    return Left({ reason: 'malformed-json', detail: err instanceof Error ? err.message : String(err) })
  }
}

/** Sends a JSON response. */
export function sendJson (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  if (res.headersSent || res.destroyed) return
  const bytes = Buffer.from(JSON.stringify(body))
  res.writeHead(status, { 'content-type': 'application/json', ...headers, 'content-length': bytes.length })
  res.end(bytes)
}

/** Sends a refusal as a problem document. */
export function sendRefusal (res: ServerResponse, refusal: Refusal): void {
  const problem = toProblem(refusal)
  const headers: Record<string, string> = { 'content-type': PROBLEM_CONTENT_TYPE }
  if (refusal.retryAfterSeconds !== undefined) headers['retry-after'] = String(refusal.retryAfterSeconds)
  if (refusal.reason === 'body-too-large') headers.connection = 'close'
  sendJson(res, problem.status, problem, headers)
}
